"""Names of the keys that dispatchers use in the store."""

# Padded numbers make keys sort in the order of the log.
NUMBER_DIGITS = 12

HEAD = "workflows/head"
LOG = "workflows/log/"
SNAPSHOTS = "workflows/snapshot/"
IMAGES = "workflows/headroom"
RUN_TIMES = "workflows/run_times"
SITE = "workflows/site/"
LEADER = SITE + "leader"
MEMBERS = SITE + "member/"


def entry(number):
    """Return the key of a log entry."""
    return f"{LOG}{number:0{NUMBER_DIGITS}d}"


def is_entry(key):
    """Return whether a key can be one of a log entry."""
    name = key.removeprefix(LOG)
    return len(name) == NUMBER_DIGITS and name.isdecimal()


def entries(first, last):
    """Return the keys of the entries from first to last, both included."""
    return [entry(number) for number in range(first, last + 1)]


def entry_number(key):
    """Return the number of the entry of a key."""
    return int(key.removeprefix(LOG))


def chunk(number, epoch, index):
    """Return the key of a snapshot chunk."""
    return f"{SNAPSHOTS}{number:0{NUMBER_DIGITS}d}-{epoch}/{index:04d}"


def chunks(number, epoch, count):
    """Return the keys of the first chunks of a snapshot."""
    return [chunk(number, epoch, index) for index in range(count)]


def member(process_id):
    """Return the registration key of a process."""
    return f"{MEMBERS}{process_id}"
