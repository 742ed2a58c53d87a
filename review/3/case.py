"""A heartbeat of another writer whose id can't be read.  See claim.txt."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
import other_writer
from standins import run_case

READABLE_ID = b"i-5d1c09a7"
UNREADABLE_ID = b"i-5d\xff\xfea7"


async def play(folder, trouble):
    return await other_writer.play(
        folder, UNREADABLE_ID if trouble else READABLE_ID, lambda data: data)


run_case(FOLDER, play)
