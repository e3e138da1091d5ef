/* Keys that are taken away: no request that is sent later than BOUND after
 * that runs, at whatever VM.
 *
 * A VM reads the log again and again.  An answer may come at any time after
 * the log gave it, also after a pause of the VM.  Its caller sends a request
 * with the key at any time; the VM may be slow to look at it.  Other VMs may
 * show their view of the configuration, of any age.
 *
 * Faults to be found: COUNT_ANSWER, a configuration counts as confirmed when
 * the answer comes, and not when the read began; TRUST_VIEW, another VM's
 * view counts as confirmed; NO_BOUND, what was known once is believed;
 * ONCE, a connection's first request is judged, and those after it are not.
 * Kept by forwarding/admission.py, keyedlog/follower.py.
 */

#define BOUND 2
#ifndef END
#define END 7
#endif
#define NEVER 100

byte now = 0;
bool present = true;
byte removed_at = NEVER;

bool is_reading = false;
bool is_answered = false;
bool answer = false;
byte read_at = 0;

bool knows = false;
bool has_confirmed = false;
byte confirmed_at = 0;

bool is_sent = false;
byte sent_at = 0;
bool was_judged = false;

#ifdef COUNT_ANSWER
#define CONFIRMED now
#else
#define CONFIRMED read_at
#endif

#ifdef ONCE
#define MAY_RUN (was_judged)
#else
#ifdef NO_BOUND
#define MAY_RUN true
#else
#define MAY_RUN (now - confirmed_at < BOUND)
#endif
#endif

inline confirm(value, at) {
    knows = value;
    has_confirmed = true;
    confirmed_at = at
}

proctype clock() {
    do
    :: now < END -> now++
    :: now == END -> break
    od
}

proctype operator() {
    atomic { present = false; removed_at = now }
}

proctype log() {
    do
    :: atomic { is_reading && !is_answered ->
        answer = present; is_answered = true }
    :: now == END -> break
    od
}

proctype vm() {
    do
    :: atomic { !is_reading -> is_reading = true; read_at = now }
    :: atomic { is_reading && is_answered ->
        confirm(answer, CONFIRMED);
        is_reading = false;
        is_answered = false }
#ifdef TRUST_VIEW
    :: atomic { has_confirmed && knows -> confirm(true, now) }
#endif
#ifdef ONCE
    :: atomic { has_confirmed && knows && now - confirmed_at < BOUND ->
        was_judged = true }
#endif
    :: atomic { is_sent && has_confirmed && knows && MAY_RUN ->
        /* It runs. */
        assert(removed_at == NEVER || sent_at <= removed_at + BOUND);
        is_sent = false }
    :: now == END -> break
    od
}

proctype caller() {
    do
    :: atomic { !is_sent -> is_sent = true; sent_at = now }
    :: now == END -> break
    od
}

init {
    atomic { run clock(); run operator(); run log(); run vm(); run caller() }
}
