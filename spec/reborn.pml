/* An upstream that crashes at any point and starts again under its id.
 *
 * It writes an entry at each start, and again later (heartbeats); an entry of
 * a start may take effect late, behind one of the next start.  A VM reads the
 * entries in their order, sends one call that may not be repeated, and turns
 * of one line, of which it wants to know where the prompt is in memory.
 *
 * Checked: the call runs once at most, over all starts; the VM never counts on
 * memory that the present start, as far as it has read, does not have; what it
 * observed of one start (calls in flight) never counts for another; a start
 * that it has read is not displaced by an earlier one.
 *
 * Faults, each one a -D: PLACE_BY_ID, LOADS_BY_ID, TAKE_LATE (any entry
 * displaces the one before), SEND_AGAIN (a new start is taken for a proof that
 * the call did not run).
 * Kept by upstreams/directory.py, forwarding/attempts.py.
 *
 * The model has no time: an earlier start that alone goes on writing for long
 * (a clock that was set back) is not in it.
 */

#define STARTS 3
#define TURNS 2

chan log = [4] of { byte };
bool alive = true;
byte start = 1;          /* of the upstream, as it is */
byte late = 0;           /* an entry that has not taken effect yet */
byte kept_by = 0;        /* the start that has the prompt */

byte runs = 0;           /* of the call that may not be repeated */
bool call_waits = false; /* it was sent, and its answer is open */
byte sent_to = 0;        /* the start that was read when it was sent */
bool given_up = false;

byte known = 0;          /* the start that the VM goes by */
byte newest = 0;         /* the latest that it has read */
byte place = 0;          /* where the line's prompt is, as recorded */
byte in_flight = 0;      /* what the VM counts for the known start */
byte open_at = 0;        /* the start at which its call is really open */

active proctype Upstream() {
    log!1;
end_upstream:
    do
    :: alive && late == 0 -> late = start                  /* is under way */
    :: late != 0 && nfull(log) -> atomic { log!late; late = 0 }
    :: alive && nfull(log) -> log!start                    /* heartbeat */
    :: alive && start < STARTS ->
        alive = false                                      /* crash */
    :: !alive && nfull(log) ->
        atomic { start++; alive = true; log!start }
    od
}

inline read_entry() {
    atomic {
        log?entry;
#ifdef TAKE_LATE
        if
        :: entry != known ->
#else
        if
        :: entry > newest ->
#endif
            known = entry;
            in_flight = 0;
#ifdef LOADS_BY_ID
            in_flight = (open_at != 0 -> 1 : 0);
#endif
        :: else
        fi;
        if
        :: entry > newest -> newest = entry
        :: else
        fi;
        assert(known == newest);
        assert(in_flight == 0 || open_at == known);
        entry = 0
    }
}

active proctype Vm() {
    byte entry;
    byte turns = 0;
    bool is_sent = false;
end_vm:
    do
    :: nempty(log) -> read_entry()
    :: known != 0 && !is_sent ->                           /* send the call */
        atomic {
            is_sent = true;
            sent_to = known;
            in_flight = 1;
            open_at = known;
            call_waits = true
        }
    :: call_waits && alive && runs == 0 ->                 /* it arrives */
        runs++
    :: call_waits && runs > 0 ->                           /* answered */
        atomic { call_waits = false; in_flight = 0; open_at = 0 }
    :: call_waits && (!alive || start != sent_to) ->       /* broken */
        atomic {
            call_waits = false;
            in_flight = 0;
            open_at = 0;
            given_up = true
        }
#ifdef SEND_AGAIN
    :: given_up && alive && known > sent_to ->
        atomic { given_up = false; runs++ }
#endif
    :: known != 0 && alive && turns < TURNS ->             /* a turn runs */
        atomic {
            turns++;
            kept_by = start;
#ifdef PLACE_BY_ID
            place = 1
#else
            place = known
#endif
        }
    :: place != 0 ->                                       /* count on it */
#ifdef PLACE_BY_ID
        assert(kept_by == known || known < kept_by);
#else
        assert(place != known || kept_by >= known);
#endif
        place = 0
    od;
}

/* At most once, whatever happens. */
active proctype Observer() {
    assert(runs <= 1)
}
