"""State that outlives a restart: a compressed snapshot and a journal of changes on a durable disk.

`frames` checks bytes. `records` defines what is stored; `endpoint_list_records` and `warm_state_records`
translate it. `snapshot_format` encodes and decodes, `disk` and `state_files` read and write, `service` does
that off the event loop, `warm_state` collects and restores what was learnt. docs/store.md has the design.
"""
