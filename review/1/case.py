"""A heartbeat of another writer whose body can't be read.  See claim.txt."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
import other_writer
from standins import run_case

INSTANCE = b"i-5d1c09a7"
VERSION = b'"version": "v1"'
UNREADABLE_VERSION = b'"version": "v\\\xc3\xa9"'   # a backslash, then an e acute


async def play(folder, trouble):
    def spoil(data):
        return data.replace(VERSION, UNREADABLE_VERSION) if trouble else data

    return await other_writer.play(folder, INSTANCE, spoil)


run_case(FOLDER, play)
