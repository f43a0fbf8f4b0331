"""The HTTP/2 state of a link."""

import h2.config
import h2.connection
import h2.settings

STREAM_WINDOW_BYTES = 16_777_216
CONNECTION_WINDOW_BYTES = 67_108_864
MAX_CALLS = 1_000


def new_protocol(client: bool) -> h2.connection.H2Connection:
    """Return the state of a new connection, with the settings that this side announces."""
    config = h2.config.H2Configuration(client_side=client, header_encoding="utf-8")
    protocol = h2.connection.H2Connection(config=config)
    protocol.local_settings = h2.settings.Settings(
        client=client,
        initial_values={
            h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: STREAM_WINDOW_BYTES,
            h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: MAX_CALLS,
            h2.settings.SettingCodes.ENABLE_PUSH: 0,
        },
    )
    protocol.initiate_connection()
    protocol.increment_flow_control_window(CONNECTION_WINDOW_BYTES)
    return protocol
