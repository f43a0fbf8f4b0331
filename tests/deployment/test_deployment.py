from bluebellrun.deployment import Customer, Deployment, Repeat, Route, Share


def route(prefix, host="h.example"):
    return Route(prefix, host, prefix, Repeat.ONCE, (Share("s", 1.0),), 1.0, 0.3)


def deployment(version=1, prefixes=("/", "/a/", "/a/b/")):
    customers = [Customer("board", ("k1", "k2"))]
    return Deployment(version, 1, [route(p) for p in prefixes], {}, customers, True)


def found(path, host="h.example"):
    chosen = deployment().find_route(host, path)
    return None if chosen is None else chosen.prefix


def test_the_longest_prefix_of_the_path_wins():
    assert found("/a/b/c") == "/a/b/"
    assert found("/a/b") == "/a/"
    assert found("/x") == "/"
    assert found("/a/", "H.Example") == "/a/"


def test_an_unknown_host_or_a_path_without_a_slash_has_no_route():
    assert found("/a/", "other") is None
    assert found("") is None
    assert deployment(prefixes=["/a/"]).find_route("h.example", "/ab") is None


def test_a_key_names_its_customer():
    assert deployment().find_customer("k2").name == "board"
    assert deployment().find_customer("k3") is None
    assert deployment().find_customer(None) is None


def test_only_a_greater_version_replaces_one():
    assert deployment(5).is_newer_than(None)
    assert deployment(5).is_newer_than(deployment(4))
    assert not deployment(5).is_newer_than(deployment(5))
    assert not deployment(4).is_newer_than(deployment(5))
