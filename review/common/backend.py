"""One backend as a process of its own; see `BackendProcess` in standin.py."""

import asyncio
import json
import sys

from standin import Backend, Record


async def main():
    arguments = json.loads(sys.argv[1])
    record = Record(arguments["record"], arguments["started"])
    backend = Backend(record, arguments["name"], arguments["work_s"], arguments["report"], arguments["port"])
    await backend.start()
    await asyncio.sleep(120)  # the script ends this process earlier


asyncio.run(main())
