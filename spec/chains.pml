/* Turns that go on from each other, ended while some VMs lack the log: what
 * ends as logged can be gone on from by the log alone.
 *
 * One program has TURNS turns, each begun by a VM that has what precedes it in
 * memory or from the log.  A VM appends what it keeps, or copies it to others,
 * or has another VM append the turn, at any time or never.  A turn ends as
 * logged by the rule, or as held once another VM keeps it.  VMs are killed.
 *
 * Faults to be found: RECORD_ALONE, the turn's own record is enough;
 * WORD_OF_TURN, another VM that recorded the turn without what precedes it is
 * taken to have recorded all.  ENDS_LOGGED says that turns that go on from held
 * ones do end as logged.  Kept by histories/turn_recorder.py and
 * histories/held_turns.py.
 */

#define TURNS 3
#define VMS 2
#define NOBODY 9

bool in_log[TURNS];
bool is_held[TURNS];
/* What each VM has in memory, and knows to stand in the log. */
bool has[VMS * TURNS];
bool knows_recorded[VMS * TURNS];
byte next = 0;
byte author = NOBODY;
byte kills = 0;
byte it;

#define AT(vm, turn) ((vm) * TURNS + (turn))

/* Whether a VM has all turns before one, in memory or from the log. */
#define HAS(vm, turn) (turn >= next || has[AT(vm, turn)] || in_log[turn])
#define HAS_CHAIN(vm) (HAS(vm, 0) && HAS(vm, 1) && HAS(vm, 2))
/* Whether a VM knows a turn to stand in the log, if it precedes. */
#define STANDS(vm, turn) (turn >= next || knows_recorded[AT(vm, turn)])

#ifdef RECORD_ALONE
#define CHAIN_STANDS(vm) true
#else
#define CHAIN_STANDS(vm) (STANDS(vm, 0) && STANDS(vm, 1) && STANDS(vm, 2))
#endif

#define RUNS(vm) (next < TURNS && author == vm)
#define IS_RECORDED(vm) knows_recorded[AT(vm, next)]
#define IS_KEPT(vm, step) has[AT((vm + step) % VMS, next)]

inline append(vm, turn) {
    in_log[turn] = true;
    knows_recorded[AT(vm, turn)] = true
}

/* Another VM appends the author's turn, and what it was given before it. */
inline record_for(other) {
    in_log[next] = true;
    knows_recorded[AT(author, next)] = true;
    it = 0;
    do
    :: it < next ->
#ifdef WORD_OF_TURN
        knows_recorded[AT(author, it)] = true;
#else
        if
        :: has[AT(author, it)] && !knows_recorded[AT(author, it)] ->
            in_log[it] = true;
            knows_recorded[AT(author, it)] = true
        :: else -> skip
        fi;
#endif
        it++
    :: else -> break
    od
}

proctype vm(byte me) {
    byte turn;
    byte other;
end_alive:
    do
    :: atomic { next < TURNS && author == NOBODY && HAS_CHAIN(me) ->
        author = me;
        turn = 0;
        do
        :: turn < next ->
            if
            :: !has[AT(me, turn)] ->
                /* Read from the log just now. */
                has[AT(me, turn)] = true;
                knows_recorded[AT(me, turn)] = true
            :: else -> skip
            fi;
            turn++
        :: else -> break
        od;
        has[AT(me, next)] = true }
    :: atomic { RUNS(me) ->
        select (turn : 0 .. 2);
        if
        :: turn <= next && has[AT(me, turn)] -> append(me, turn)
        :: else -> skip
        fi }
    :: atomic { RUNS(me) ->
        select (other : 0 .. 1);
        has[AT(other, next)] = true }
    :: atomic { RUNS(me) ->
        select (other : 0 .. 1);
        if
        :: other != me -> record_for(other)
        :: else -> skip
        fi }
    :: atomic { RUNS(me) && IS_RECORDED(me) && CHAIN_STANDS(me) ->
        assert(in_log[next]);
        assert(next < 1 || in_log[0]);
        assert(next < 2 || in_log[1]);
#ifdef ENDS_LOGGED
        assert(next == 0 || !is_held[next - 1]);
#endif
        author = NOBODY;
        next++ }
    :: atomic { RUNS(me) && IS_KEPT(me, 1) ->
        is_held[next] = true;
        author = NOBODY;
        next++ }
    :: atomic { kills < 2 ->
        kills++;
        turn = 0;
        do
        :: turn < TURNS ->
            has[AT(me, turn)] = false;
            knows_recorded[AT(me, turn)] = false;
            turn++
        :: else -> break
        od;
        if
        :: author == me -> author = NOBODY
        :: else -> skip
        fi }
    od
}

init {
    atomic { run vm(0); run vm(1) }
}
