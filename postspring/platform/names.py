"""Every name that goes over the wire: headers, calls, topics."""

# -- headers of requests ------------------------------------------------------

REQUEST_ID = "Postspring-Request-Id"
DEADLINE_MS = "Postspring-Deadline-Ms"
AFFINITY_KEY = "Postspring-Affinity-Key"
MODEL = "Postspring-Model"
# "prompt tokens,most output tokens"
TOKEN_USAGE = "Postspring-Token-Usage"
# "ID:TOKENS,..." with the parts of the prompt in order
PROMPT_PREFIX = "Postspring-Prompt-Prefix"
LENGTH_HINT = "Postspring-Length-Hint"
PROGRAM_ID = "Postspring-Program-Id"
# One line of turns; not an HTTP session.
SESSION_ID = "Postspring-Session-Id"
PROGRAM_DEADLINE_MS = "Postspring-Program-Deadline-Ms"
TOKEN_BUDGET = "Postspring-Token-Budget"
PREVIOUS_TURN = "Postspring-Previous-Turn"
LAST_EVENT_ID = "Last-Event-Id"
# An API key, and nothing else; it is for the system only.
CREDENTIAL = "Postspring-Credential"

# -- headers that only the system sets towards engines ------------------------

TARGET_INSTANCE = "Postspring-Target-Instance"
URGENCY = "Postspring-Request-Urgency"
EXPECTED_VERSION = "Postspring-Expected-Version"
PIN_MS = "Postspring-Pin-Ms"
HOLD = "Postspring-Hold"
KV_BACKUP = "Postspring-Kv-Backup"
KV_FROM = "Kv-From"
KV_FETCH = "Kv-Fetch"
# Name of the workspace that holds the caller's key.
TENANT = "Postspring-Tenant"

# -- headers of answers -------------------------------------------------------

NOT_EXECUTED = "Postspring-Not-Executed"
INSTANCE_ID = "Postspring-Instance-Id"
SERVER_SEAL = "Postspring-Server-Seal"
# One integer; in lower case also the first line of the event of a stream at
# which it changes.
WEIGHT_VERSIONS = "Postspring-Weight-Versions"
RETRY_AFTER = "Retry-After"

# -- calls --------------------------------------------------------------------

READINESS_PATH = "/v1/readiness"
LOG_APPEND_PATH = "/v1/log-append"
LOG_READ_PATH = "/v1/log-read"
LOG_NEWEST_PATH = "/v1/log-newest"

# -- topics -------------------------------------------------------------------

OPERATOR_TOPIC = "keyed.op"
SERVERS_TOPIC = "keyed.servers"
PROGRAMS_TOPIC = "keyed.programs-{number}"
LOCATIONS_TOPIC = "keyed.turns"
MEMBERS_TOPIC = "keyed.vms"
CONFIGURATION_KEY = "config"

# -- settings -----------------------------------------------------------------

SETTINGS_VARIABLE = "POSTSPRING_BOOT"
