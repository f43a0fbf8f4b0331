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


def test_depth_is_two_hops_for_a_domain_and_four_for_the_fleet():
    assert RelayTree(DOMAIN).depth == 2
    assert RelayTree(NAMES).depth == 4


def test_both_parents_are_in_the_layer_above():
    tree = RelayTree(NAMES)
    for name in NAMES[::7]:
        layer = tree.layer(name)
        assert layer is not None
        if layer:
            assert len(tree.parents(name)) == 2
            assert all(tree.layer(parent) == layer - 1 for parent in tree.parents(name))


def test_number_of_children_is_bounded():
    counts = children(RelayTree(NAMES), NAMES)
    assert max(counts.values()) <= 48
    assert max(children(RelayTree(DOMAIN), DOMAIN).values()) <= 32


def test_replacing_any_member_of_a_domain_moves_few_others():
    before = edges(RelayTree(DOMAIN), DOMAIN)
    worst = total = 0
    for removed in DOMAIN:
        names = [name for name in DOMAIN if name != removed] + ["newcomer"]
        after = edges(RelayTree(names), names)
        moved = sum(before[name] != after[name] for name in names if name != "newcomer")
        worst, total = max(worst, moved), total + moved
    assert worst <= len(DOMAIN) // 2
    assert total / len(DOMAIN) <= len(DOMAIN) / 10


def test_replacing_a_member_of_the_fleet_moves_one_percent_on_average():
    sampled = NAMES[::11]
    before = edges(RelayTree(NAMES), sampled)
    total = 0
    replaced = NAMES[1::800]
    for removed in replaced:
        names = [*(name for name in NAMES if name != removed), "newcomer"]
        after = edges(RelayTree(names), sampled)
        total += sum(before[name] != after[name] for name in sampled)
    assert total / len(replaced) <= len(sampled) / 100


def test_every_upstream_has_the_same_number_of_entries():
    entries = [f"entry-{number}" for number in range(22)]
    upstreams = [f"agent-{number}" for number in range(467)]
    subsets = [choose_subset(entry, entries, upstreams) for entry in entries]
    for upstream in upstreams:
        assert sum(upstream in subset for subset in subsets) == 3
    sizes = sorted(len(subset) for subset in subsets)
    assert sizes[0] >= 40
    assert sizes[-1] <= 90


def test_replacing_upstream_or_entry_moves_only_its_links():
    entries = [f"entry-{number}" for number in range(22)]
    upstreams = [f"agent-{number}" for number in range(467)]
    before = choose_subset("entry-3", entries, upstreams)
    changed = [*upstreams[1:], "agent-new"]
    assert choose_subset("entry-3", entries, changed) ^ before <= {"agent-0", "agent-new"}
    lost = choose_subset("entry-5", entries, upstreams)
    without = [entry for entry in entries if entry != "entry-5"]
    assert choose_subset("entry-3", without, upstreams) - before <= lost


def test_every_entry_serves_all_upstreams_when_entries_are_few():
    assert choose_subset("e-1", ["e-1", "e-2", "e-3"], ["a", "b"]) == {"a", "b"}
