"""Names on the wire: headers, paths of calls, topics of the store."""

# -- headers of requests ------------------------------------------------------

REQUEST_ID = "Postspring-Request-Id"
DEADLINE_MS = "Postspring-Deadline-Ms"
AFFINITY_KEY = "Postspring-Affinity-Key"
MODEL = "Postspring-Model"
# "PROMPT_TOKENS,MAX_OUTPUT_TOKENS"
TOKEN_USAGE = "Postspring-Token-Usage"
# "ID:TOKENS,...", the parts of the prompt in order
PROMPT_PREFIX = "Postspring-Prompt-Prefix"
LENGTH_HINT = "Postspring-Length-Hint"
PROGRAM_ID = "Postspring-Program-Id"
# A sequence of turns that continue one another; not an HTTP session.
SESSION_ID = "Postspring-Session-Id"
PROGRAM_DEADLINE_MS = "Postspring-Program-Deadline-Ms"
TOKEN_BUDGET = "Postspring-Token-Budget"
PREVIOUS_TURN = "Postspring-Previous-Turn"
LAST_EVENT_ID = "Last-Event-Id"
# Only an API key; it is never forwarded to upstreams.
CREDENTIAL = "Postspring-Credential"

# -- headers that only this system sets, in requests to engines ---------------

TARGET_INSTANCE = "Postspring-Target-Instance"
URGENCY = "Postspring-Request-Urgency"
EXPECTED_VERSION = "Postspring-Expected-Version"
PIN_MS = "Postspring-Pin-Ms"
HOLD = "Postspring-Hold"
KV_BACKUP = "Postspring-Kv-Backup"
KV_FROM = "Kv-From"
KV_FETCH = "Kv-Fetch"
# Name of the workspace that the caller's API key belongs to.
TENANT = "Postspring-Tenant"

# -- headers of responses -----------------------------------------------------

NOT_EXECUTED = "Postspring-Not-Executed"
INSTANCE_ID = "Postspring-Instance-Id"
SERVER_SEAL = "Postspring-Server-Seal"
# One integer.  In lower case it is also the first line of a stream event at
# which the weights change.
WEIGHT_VERSIONS = "Postspring-Weight-Versions"
RETRY_AFTER = "Retry-After"

# -- paths of calls -----------------------------------------------------------

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
