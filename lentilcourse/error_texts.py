"""The text of every error and refusal, in one place.

Texts are format strings; the module that raises fills them in. A text says what is wrong
and, where there is one, the next step.
"""

from __future__ import annotations

from typing import Final

# Kernel.
PLUGIN_TWICE: Final = "{kind} {name!r} is registered twice"
PLUGIN_UNKNOWN: Final = "unknown {kind} {name!r}; known: {known}"
POOL_FULL: Final = "task pool {name} is full: {limit} tasks run"
POOL_CLOSED: Final = "task pool {name} is closed"

# Settings.
SETTINGS_UNREADABLE: Final = "{file}: cannot be read: {cause}"
SETTINGS_NOT_INI: Final = "{file}: is not valid INI: {cause}"
SECTION_MISSING: Final = "{file}: section [{section}] is missing"
SECTION_UNKNOWN: Final = "{file}: section [{section}] is unknown; known: {known}"
KEY_MISSING: Final = "{file}: [{section}] {key} is missing"
KEY_UNKNOWN: Final = "{file}: [{section}] {key} is unknown; known: {known}"
KEY_INVALID: Final = "{file}: [{section}] {key} = {value!r}: {cause}"
NOT_AN_ADDRESS: Final = "must be IP:PORT with an IPv4 address by number"
NOT_IN_RANGE: Final = "must be a number from {low} to {high}"
NOT_A_CHOICE: Final = "must be one of {choices}"
NOT_A_KEY: Final = "must be at least {length} hexadecimal digits"
NOT_A_NAME: Final = "must be 1 to 63 letters, digits, '.', '_' or '-', starting with a letter"

# Streams.
STREAM_CLOSED: Final = "stream closed by {peer}"
STREAM_SILENT: Final = "no message from {peer} within the heartbeat deadline"
STREAM_FAILED: Final = "stream to {peer} failed: {cause}"
MESSAGE_INVALID: Final = "invalid message: {cause}"
UNENCODABLE: Final = "a value cannot be encoded: {cause}"
MESSAGE_UNEXPECTED: Final = "unexpected message {name}"
REQUEST_FAILED: Final = "the request failed by an internal error"
PEER_UNPROVED: Final = "{name} did not prove its key"
PEER_UNKNOWN: Final = "no key is known for {kind} {name!r}"

# Catalogue.
ADDRESS_TAKEN: Final = "{address} ({protocol}) belongs to entry {name!r}"
CHANGE_FAILED: Final = "the change made its rule fail: {cause}"
NOT_FOUND: Final = "{name!r} does not exist"
LIMIT_RANGE: Final = "must be from {low} to {high}, or 0 for no limit"
DOMAIN_UNCHANGED: Final = "failure domain {name!r} is already {state}"
TARGET_UNCHANGED: Final = "target {name!r} is already {state}"

# Storage.
LOG_DAMAGED: Final = "{file}: record at byte {offset} is damaged: {cause}"
DATA_FOREIGN: Final = "{file}: unknown format version {version}"

# Consensus.
NOT_LEADER: Final = "this replica is not the leader"
PROPOSAL_UNKNOWN: Final = "no outcome within {seconds} s; resend under the same change id"
ORDER_EXPIRED: Final = "the order is too old to be executed; send it again"
ALREADY_BOOTSTRAPPED: Final = "controller already holds data of replica {replica_id}"
MEMBERSHIP_BUSY: Final = "another membership change is not committed yet"
MEMBERSHIP_NO_CHANGE: Final = "membership already has that form"
MEMBERSHIP_UNSAFE: Final = "the change would leave fewer live voters than a quorum"
LEARNER_BEHIND: Final = "learner {name} has not caught up yet; retry"

WRONG_REPLICA: Final = "replica {replica_id} is not here any more"
READ_UNCONFIRMED: Final = "no quorum confirmed within {seconds} s that this is the newest state"

# Packets.
PACKET_SHORT: Final = "datagram of {size} bytes is too short"
PACKET_VERSION: Final = "unsupported version {version}"
PACKET_OPTION: Final = "unknown critical option {option:#x}"
PACKET_LENGTH: Final = "length field does not match the datagram"
PACKET_PROTOCOL: Final = "unsupported protocol {protocol}"
PACKET_FLAGS: Final = "unknown flags in {flags:#x}"
PACKET_ANSWER: Final = "unknown answer in a reply"
PACKET_PART: Final = "part {part} of {parts} does not exist"
PACKET_FRAGMENT: Final = "fragments are not carried"

# Refusals.
REFUSED_OWNER_LIMIT: Final = "entry {entry} of owner {owner} has reached {limit} = {value}"
REFUSED_SYSTEM: Final = "refused by the system: {cause}"

# Operators' command line.
CLI_NO_CONTROLLER: Final = "no controller answered: {causes}; check [controllers] in {file}"
CLI_CONFLICT: Final = (
    "conflict: version in force is {version}; look at it with 'show' and edit that version"
)
CLI_WAIT_TIMEOUT: Final = "not in force everywhere after {seconds} s: {missing}"
