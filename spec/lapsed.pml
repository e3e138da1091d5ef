/* Upstreams whose entries lapsed while the log was unavailable: none gets work
 * BOUND or more after the log acknowledged, once back, that it left.
 *
 * The log becomes unavailable once and comes back.  Meanwhile the entry may
 * lapse; one that lives writes it again, one that leaves changes nothing that
 * is read.
 * A call of the VM reaches the log at any time after it was asked, and the
 * answer comes at any time after that.  While the VM has lost the log, calls
 * may also fail without being made; a log that is back may refuse some.
 *
 * Faults to be found: COUNT_REGAINED, the time begins when the VM hears the
 * log; SWEEP, it ends when something looks, and not when a request is sent;
 * COUNT_UNMADE, a call that was not made shows the log to be unavailable;
 * COUNT_BUSY, one that the log refused does; RENEW, each failed call begins
 * the time anew.  LOSE_ANSWER is no fault of the rule but its premise: a call
 * that the log took and whose answer is lost looks like one that it did not
 * take.  NEVER_WITHOUT says that the rule lets such upstreams get work.
 * Kept by keyedlog/follower.py, front/upstream_follower.py,
 * upstreams/directory.py.
 */

#define BOUND 3
#ifndef END
#define END 8
#endif
#define NEVER 100

byte now = 0;
bool is_up = true;
bool was_away = false;
byte back_at = NEVER;
bool has_entry = true;
byte left_at = NEVER;

bool is_asking = false;
bool has_reached = false;
mtype = { nothing, taken, refused, unmade };
mtype outcome = nothing;
bool saw_entry = false;
byte asked_at = 0;

bool is_lost = false;
byte away_at = 0;
bool was_shown_away = false;
byte tolerant_until = 0;
bool is_listed = true;
byte missing_until = NEVER;

#ifdef SWEEP
#define SLACK 1
#else
#define SLACK 0
#endif

#define MAY_SEND (!is_listed && missing_until > 0 && now < missing_until + SLACK)
/* The log was not back yet when it left, if it did. */
#define IS_UNTOLD (left_at == NEVER || back_at == NEVER || left_at < back_at)

proctype clock() {
    do
    :: now < END -> now++
    :: now == END -> break
    od
}

proctype store() {
    do
    :: atomic { is_up && !was_away -> is_up = false; was_away = true }
    :: atomic { !is_up && has_entry -> has_entry = false }
    :: atomic { !is_up -> is_up = true; back_at = now }
    :: atomic { is_asking && !has_reached ->
        has_reached = true;
        saw_entry = has_entry;
        if
        :: is_up -> outcome = taken
        :: is_up && was_away -> outcome = refused
        :: !is_up -> outcome = nothing
#ifdef LOSE_ANSWER
        :: is_up -> outcome = nothing
#endif
        fi }
    :: now == END -> break
    od
}

proctype upstream() {
    do
    :: atomic { is_up && left_at == NEVER && !has_entry -> has_entry = true }
    :: atomic { is_up && left_at == NEVER ->
        left_at = now;
        has_entry = false;
        break }
    :: now == END -> break
    od
}

inline hear() {
    if
    :: is_lost ->
        is_lost = false;
#ifdef COUNT_REGAINED
        tolerant_until = now + BOUND
#else
#ifdef RENEW
        tolerant_until = now + BOUND
#else
        if
        :: was_shown_away -> tolerant_until = away_at + BOUND
        :: else -> skip
        fi
#endif
#endif
    :: else -> skip
    fi;
    if
    :: saw_entry -> is_listed = true; missing_until = NEVER
    :: !saw_entry && is_listed && now < tolerant_until ->
        is_listed = false;
        missing_until = tolerant_until
    :: !saw_entry && is_listed && now >= tolerant_until ->
        is_listed = false;
        missing_until = 0
#ifdef RENEW
    :: !saw_entry && !is_listed && missing_until > 0 ->
        missing_until = tolerant_until
    :: !saw_entry && !is_listed && missing_until == 0 -> skip
#else
    :: !saw_entry && !is_listed -> skip
#endif
    fi
}

inline note_away() {
    away_at = asked_at;
    was_shown_away = true
}

proctype vm() {
    do
    :: atomic { !is_asking ->
        is_asking = true;
        has_reached = false;
        asked_at = now }
    :: atomic { !is_asking && is_lost ->
        /* Not made: the log counts as down. */
#ifdef COUNT_UNMADE
        asked_at = now;
        note_away();
#endif
        skip }
    :: atomic { is_asking && has_reached ->
        is_asking = false;
        if
        :: outcome == taken -> hear()
        :: outcome == refused ->
            is_lost = true;
#ifdef COUNT_BUSY
            note_away();
#endif
            skip
        :: outcome == nothing ->
            is_lost = true;
            note_away()
        fi }
    :: atomic { MAY_SEND ->
        /* A request is sent to an upstream without an entry. */
        assert(IS_UNTOLD || now < left_at + BOUND);
#ifdef NEVER_WITHOUT
        assert(left_at != NEVER);
#endif
        skip }
    :: now == END -> break
    od
}

init {
    atomic { run clock(); run store(); run upstream(); run vm() }
}
