from bluebellrun.membership import RelayTree, choose_subset

NAMES = [f"node-{number}" for number in range(3_190)]
DOMAIN = NAMES[:177]


def edges(tree: RelayTree, names: list[str]) -> dict[str, set[str]]:
    return {name: set(tree.parents(name)) for name in names}


def children(tree: RelayTree, names: list[str]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for name in names:
        for parent in tree.parents(name):
            counts[parent] = counts.get(parent, 0) + 1
    return counts


def test_a_domain_of_the_design_size_is_two_hops_deep_and_all_of_the_fleet_four():
    assert RelayTree(DOMAIN).depth == 2
    assert RelayTree(NAMES).depth == 4


def test_every_member_reaches_a_watcher_by_each_of_its_parents():
    tree = RelayTree(NAMES)
    for name in NAMES[::7]:
        layer = tree.layer(name)
        assert layer is not None
        if layer:
            assert len(tree.parents(name)) == 2
            assert all(tree.layer(parent) == layer - 1 for parent in tree.parents(name))


def test_no_member_has_many_more_children_than_the_mean():
    counts = children(RelayTree(NAMES), NAMES)
    assert max(counts.values()) <= 48
    assert max(children(RelayTree(DOMAIN), DOMAIN).values()) <= 32


def test_replacing_any_one_member_moves_few_others():
    before = edges(RelayTree(DOMAIN), DOMAIN)
    worst = total = 0
    for gone in DOMAIN:
        names = [name for name in DOMAIN if name != gone] + ["newcomer"]
        after = edges(RelayTree(names), names)
        moved = sum(before[name] != after[name] for name in names if name != "newcomer")
        worst, total = max(worst, moved), total + moved
    assert worst <= len(DOMAIN) // 2
    assert total / len(DOMAIN) <= len(DOMAIN) / 10


def test_replacing_one_of_the_whole_fleet_moves_one_in_a_hundred_on_average():
    asked = NAMES[::11]
    before = edges(RelayTree(NAMES), asked)
    total = 0
    replaced = NAMES[1::800]
    for gone in replaced:
        names = [*(name for name in NAMES if name != gone), "newcomer"]
        after = edges(RelayTree(names), asked)
        total += sum(before[name] != after[name] for name in asked)
    assert total / len(replaced) <= len(asked) / 100


def test_every_upstream_is_reached_by_the_same_number_of_entries():
    entries = [f"entry-{number}" for number in range(22)]
    upstreams = [f"agent-{number}" for number in range(467)]
    subsets = [choose_subset(entry, entries, upstreams) for entry in entries]
    for upstream in upstreams:
        assert sum(upstream in subset for subset in subsets) == 3
    sizes = sorted(len(subset) for subset in subsets)
    assert sizes[0] >= 40
    assert sizes[-1] <= 90


def test_replacing_an_upstream_or_an_entry_moves_only_its_own_links():
    entries = [f"entry-{number}" for number in range(22)]
    upstreams = [f"agent-{number}" for number in range(467)]
    before = choose_subset("entry-3", entries, upstreams)
    changed = [*upstreams[1:], "agent-new"]
    assert choose_subset("entry-3", entries, changed) ^ before <= {"agent-0", "agent-new"}
    lost = choose_subset("entry-5", entries, upstreams)
    without = [entry for entry in entries if entry != "entry-5"]
    assert choose_subset("entry-3", without, upstreams) - before <= lost


def test_few_entries_serve_all_upstreams():
    assert choose_subset("e-1", ["e-1", "e-2", "e-3"], ["a", "b"]) == {"a", "b"}
