from pathlib import Path

import pytest

from bluebellrun.core import Address
from bluebellrun.platform import SettingsError, read_settings

SETTINGS = """
node = "front-1"
ip = "10.1.0.40"
zone = "east"
region = "r"
port_range = [7340, 7355]
a_new_field = [1, 2]
[zones]
east = "r"
[listen]
front = "10.1.0.40:8227"
ready = "10.1.0.40:8220"
[limits]
ram_mb = 300
max_fds = 1535
[bounds]
drain_ms = 1500
retry_slack = 90
[platform]
addr = "10.200.1.7:8223"
ttl_min_ms = 1000
"""


def write_settings(folder: Path, text: str) -> Path:
    path = folder / "settings.toml"
    path.write_text(text)
    return path


def test_settings_are_converted_to_seconds_and_bytes(tmp_path):
    settings = read_settings(write_settings(tmp_path, SETTINGS))
    assert settings.callers == Address("10.1.0.40", 8227)
    assert settings.upstream is None
    assert (settings.failure_domain, settings.ports.first) == ("east", 7340)
    assert settings.bounds.drain_s == 1.5
    assert settings.store.shortest_lease_s == 1.0
    assert settings.memory_bytes == 300_000_000
    assert settings.max_descriptors == 1_535


def test_load_shedding_is_on_only_where_the_settings_ask_for_it(tmp_path):
    assert not read_settings(write_settings(tmp_path, SETTINGS)).load_shedding
    asked = 'contracts = ["other", "pressure"]\n' + SETTINGS
    assert read_settings(write_settings(tmp_path, asked)).load_shedding


@pytest.mark.parametrize(
    ("wrong", "message"),
    [
        (SETTINGS.replace('ip = "10.1.0.40"', "ip = 5"), "ip"),
        (SETTINGS.replace("10.200.1.7:8223", "nowhere"), "nowhere"),
        (SETTINGS.replace("[platform]", "[store]"), "platform"),
        ("node = ", "not TOML"),
    ],
)
def test_a_wrong_setting_is_named_with_its_file(tmp_path, wrong, message):
    path = write_settings(tmp_path, wrong)
    with pytest.raises(SettingsError, match=message) as caught:
        read_settings(path)
    assert str(path) in str(caught.value)


def test_a_missing_file_is_named(tmp_path):
    with pytest.raises(SettingsError, match=r"none\.toml"):
        read_settings(tmp_path / "none.toml")
