/* A stream that may be resumed goes on at another upstream within one answer.
 *
 * Two upstreams may break off at any point: between two events, in the
 * middle of one, with a reset or with what looks like an end; the second may
 * begin again with the first event, or have other weights.  The VM may also
 * leave the first one because it is silent, while its events are on their way.
 *
 * Checked: the caller gets events 1, 2, 3 ... of one set of weights, none
 * missing, doubled or halved; the answer ends as complete only after the
 * last one; what it got is charged once; no more upstreams than allowed run.
 *
 * Faults, each one a -D: FORWARD_PARTS, NO_ORDER, CHARGE_RUNS, ANY_WEIGHTS,
 * END_IN_EVENT, NO_LIMIT.  KEEP_OLD is none: events of the upstream that was
 * left still come, and the order of events keeps them out.
 * Kept by forwarding/delivery.py, stream_position.py, attempts.py.
 */

#define EVENTS 3
#define UPSTREAMS 3
#define MOST 2

mtype = { EVENT, PART, END, RESET };

chan pipe[UPSTREAMS] = [5] of { mtype, byte, byte };
bool asked[UPSTREAMS];
byte asked_last[UPSTREAMS];
byte asked_weights[UPSTREAMS];
byte weights[UPSTREAMS];

byte current = 0;
byte runs = 1;
byte last = 0;
byte first_weights = 0;
byte charged = 0;
bool halved = false;
bool in_event = false;
bool finished = false;

proctype Upstream(byte me) {
    byte next;
end_unasked:
    (asked[me]);
    if
    :: asked_weights[me] != 0 && asked_weights[me] != weights[me] ->
        pipe[me]!RESET, 0, 0;
        goto gone
    :: else
    fi;
    if
    :: next = asked_last[me] + 1
    :: next = 1
    fi;
    do
    :: next <= EVENTS ->
        pipe[me]!EVENT, next, weights[me];
        next++
    :: next <= EVENTS ->
        pipe[me]!PART, next, weights[me];
        break
    :: next > EVENTS ->
        pipe[me]!END, 0, 0;
        goto gone
    :: pipe[me]!RESET, 0, 0;
        goto gone
    od;
    if
    :: pipe[me]!RESET, 0, 0
    :: pipe[me]!END, 0, 0
    fi;
gone:
    skip
}

inline ask(upstream) {
    asked_last[upstream] = last;
#ifndef ANY_WEIGHTS
    asked_weights[upstream] = first_weights;
#endif
    asked[upstream] = true
}

inline take_event(number, version) {
#ifndef NO_ORDER
    if
    :: number <= last -> finished = true
    :: else ->
#endif
        assert(number == last + 1);
        assert(first_weights == 0 || first_weights == version);
        first_weights = version;
        last = number;
        charged++
#ifndef NO_ORDER
    fi
#endif
}

inline go_on() {
    in_event = false;
    if
#ifdef NO_LIMIT
    :: runs < UPSTREAMS ->
#else
    :: runs < MOST ->
#endif
        current = runs;
        runs++;
        ask(current)
    :: else -> finished = true
    fi
}

active proctype Vm() {
    byte number;
    byte version;
    byte upstream;
    for (upstream : 0 .. UPSTREAMS - 1) {
        if
        :: weights[upstream] = 1
        :: weights[upstream] = 2
        fi;
        run Upstream(upstream)
    }
    ask(0);
    do
    :: finished -> break
    :: else ->
    if
    :: pipe[current]?EVENT, number, version ->
        take_event(number, version)
    :: pipe[current]?PART, number, version ->
        in_event = true
#ifdef FORWARD_PARTS
        ; last = number;
        halved = true
#endif
#ifdef CHARGE_RUNS
        ; charged++
#endif
    :: pipe[current]?RESET, number, version ->
        go_on()
    :: pipe[current]?END, number, version ->
#ifdef END_IN_EVENT
        assert(last == EVENTS);
        finished = true
#else
        if
        :: in_event -> go_on()
        :: else ->
            assert(last == EVENTS);
            finished = true
        fi
#endif
    :: runs < MOST -> go_on()
#ifdef KEEP_OLD
    :: current > 0 && nempty(pipe[0]) ->
        if
        :: pipe[0]?EVENT, number, version -> take_event(number, version)
        :: pipe[0]?PART, number, version
        :: pipe[0]?RESET, number, version
        :: pipe[0]?END, number, version
        fi
#endif
    fi
    od;
    assert(runs <= MOST);
    assert(charged == last);
    assert(!halved || last == EVENTS)
}
