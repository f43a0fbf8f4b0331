import pytest

from bluebellrun.gateway._role import SLOW_LINK_PAUSE_S, TAKE_OVER_PAUSE_S, take_over_pause_s


@pytest.mark.parametrize(
    ("link_bits_s", "pause_s"),
    [(0.0, TAKE_OVER_PAUSE_S), (20e6, SLOW_LINK_PAUSE_S), (1e9, TAKE_OVER_PAUSE_S)],
)
def test_a_host_with_a_slow_link_leaves_the_role_to_others_first(link_bits_s, pause_s):
    assert take_over_pause_s(link_bits_s) == pause_s
