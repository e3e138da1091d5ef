/* The journal: two VMs run turns of one program against one budget.  What
 * there is depends on which records the log holds, not on their order; a turn
 * may run if all that stands before its record leaves room.  VMs reserve
 * ahead, by a number in the record, and run turns from the reserve without a
 * record before them.  Appends take effect late, never or (DOUBLES) twice,
 * or (COPIED) once more anywhere behind; a VM may restart as a fresh author;
 * with COMPACT a VM may read only the newest record of each key.  See
 * docs/MODEL.md.
 */

#define BUDGET 3
#define CEILING 1
#define GRANT 1             /* tokens that a record reserves, or none */
#define TURNS 2             /* by VM */
#define ALL_TURNS 4
#define AUTHORS 4           /* VM + 2 after a restart */
#ifdef COPIED
#define RECORDS 6           /* fewer, for the search to end in 4 GB */
#define COPIES 1
#else
#define RECORDS 9
#endif

#define NONE 0
#define OPEN 1
#define DONE 2

typedef Record { byte kind; byte author; byte turn; byte tokens;
                 byte granted; bool from_reserve }
Record records[RECORDS];
byte length;
byte handed;                /* tokens that callers got */
byte restarts;
#ifdef COPIED
byte copies;
#endif

/* What records add up to: computed anew at each use. */
hidden byte opened[ALL_TURNS];      /* ceiling of its opening, if any */
hidden byte open_grant[ALL_TURNS];
hidden byte ended[ALL_TURNS];
hidden byte tokens[ALL_TURNS];
hidden byte done_grant[ALL_TURNS];
hidden byte from_it[ALL_TURNS];
hidden byte author_of[ALL_TURNS];
hidden short net[AUTHORS];          /* of each author's reserve */
hidden byte total;                  /* charged and reserved */
hidden byte known;                  /* turns known to have ended, as bits */
hidden byte full_total;
hidden byte full_known;
hidden byte at;
hidden byte later;
hidden byte remains;                 /* a compaction has left the record */

#ifdef SHARED_KEY
#define SAME_KEY(i, j) (records[i].turn == records[j].turn)
#else
#define SAME_KEY(i, j) (records[i].turn == records[j].turn && \
    records[i].kind == records[j].kind)
#endif

/* Add up the records before `end`; of those with the same key before `upto`
 * only the newest one (none is dropped if `upto` is 0). */
inline fold(end, upto) {
    at = 0;
    do
    :: at < ALL_TURNS ->
        opened[at] = 0; open_grant[at] = 0; ended[at] = false;
        tokens[at] = 0; done_grant[at] = 0; from_it[at] = false;
        net[at] = 0; at++
    :: else -> break
    od;
    at = 0;
    do
    :: at < end ->
        remains = true;
        later = at + 1;
        do
        :: later < upto ->
            if
            :: SAME_KEY(at, later) -> remains = false
            :: else
            fi;
            later++
        :: else -> break
        od;
        if
        :: remains && records[at].kind == OPEN ->
            opened[records[at].turn] = CEILING;
            open_grant[records[at].turn] = records[at].granted;
            author_of[records[at].turn] = records[at].author
        :: remains && records[at].kind == DONE ->
            ended[records[at].turn] = true;
            tokens[records[at].turn] = records[at].tokens;
            done_grant[records[at].turn] = records[at].granted;
            from_it[records[at].turn] = records[at].from_reserve;
            author_of[records[at].turn] = records[at].author
        :: else
        fi;
        at++
    :: else -> break
    od;
    total = 0;
    known = 0;
    at = 0;
    do
    :: at < ALL_TURNS ->
        if
        :: ended[at] ->
            known = known | (1 << at);
            total = total + tokens[at];
            net[author_of[at]] = net[author_of[at]] + done_grant[at];
            if
            :: from_it[at] ->
                net[author_of[at]] = net[author_of[at]] - tokens[at]
            :: else
            fi
        :: !ended[at] && opened[at] > 0 ->
            total = total + opened[at];
            net[author_of[at]] = net[author_of[at]] + open_grant[at]
        :: else
        fi;
        at++
    :: else -> break
    od;
#ifndef NO_RESERVE_CHARGE
    at = 0;
    do
    :: at < AUTHORS ->
        if
        :: net[at] > 0 -> total = total + net[at]
        :: else
        fi;
        at++
    :: else -> break
    od
#endif
}

/* Read what a compaction has left: it tells the same as all records. */
inline fold_newest() {
    fold(length, 0);
    full_total = total;
    full_known = known;
    fold(length, length);
    assert(known == full_known);
    assert(total == full_total)
}

inline put(a_kind, a_author, a_turn, a_count, a_grant, a_reserved) {
    records[length].kind = a_kind;
    records[length].author = a_author;
    records[length].turn = a_turn;
    records[length].tokens = a_count;
    records[length].granted = a_grant;
    records[length].from_reserve = a_reserved;
    length++
}

/* What an opening comes to. */
inline judge_opening() {
    if
    :: total <= BUDGET -> runs = true; held = grant
    :: total > BUDGET && total - grant <= BUDGET -> runs = true
    :: else
    fi;
#ifdef NO_GRANT_CHECK
    held = grant;
#endif
    if
    :: runs -> usable = usable + held
    :: else -> held = 0
    fi
}

inline judge_end() {
    if
#ifdef NO_GRANT_CHECK
    :: true -> usable = usable + grant
#else
    :: total <= BUDGET -> usable = usable + grant
    :: else
#endif
    fi
}

active [2] proctype Vm() {
    byte me = _pid;
    byte author = _pid;
    byte next = 0;
    byte turn;
    byte usable = 0;        /* of what it reserved: fitted, and not used */
    byte grant;
    byte held;              /* what its opening reserved, if that fitted */
    byte place;
    byte spent;
    bool from_reserve;
    bool runs;
#ifdef COMPACT
    bool read_later = false;
#endif
#ifdef NO_READ_BACK
    byte view = 0;
#endif
    do
    :: next < TURNS ->
        d_step { turn = me * TURNS + next; next++ };
        if
        :: usable >= CEILING ->
            runs = true; from_reserve = true;
            usable = usable - CEILING
        :: usable < CEILING && length < RECORDS - 3 ->
            if
            :: grant = 0
            :: grant = GRANT
            fi;
            if
            :: atomic { length < RECORDS ->     /* the append takes effect */
                place = length;
                put(OPEN, author, turn, 0, grant, false);
#ifdef DOUBLES
                if
                :: length < RECORDS - 3 ->
                    put(OPEN, author, turn, 0, grant, false)
                :: true
                fi;
#endif
                if
#ifdef NO_READ_BACK
                :: d_step { true -> fold(view, 0);
                    total = total + CEILING + grant; judge_opening() }
#else
                /* What stands before it: when that is read changes nothing. */
                :: d_step { true -> fold(place + 1, 0); judge_opening() }
#endif
#ifdef COMPACT
                :: read_later = true
#endif
                fi };
#ifdef COMPACT
                if
                :: read_later ->
                    d_step { read_later = false;
#ifdef JUDGE_WHAT_IS_LEFT
                        fold(place + 1, length);
#else
                        fold_newest();
#endif
                        judge_opening() }
                :: else
                fi;
#endif
                if
                :: atomic { !runs && length < RECORDS ->
                    put(DONE, author, turn, 0, 0, false) }
                :: else
                fi
            :: atomic { length < RECORDS ->     /* given up, never run */
                put(DONE, author, turn, 0, 0, false) };
                if
                :: atomic { length < RECORDS -> /* and it comes late */
                    put(OPEN, author, turn, 0, grant, false) }
                :: true
                fi
            :: length >= RECORDS -> skip        /* no room in the model */
            fi
        :: else
        fi;
        if
        :: runs ->
            atomic {
                if
                :: spent = 0
                :: spent = CEILING
                fi;
                handed = handed + spent;
                assert(handed <= BUDGET) };
            if
            :: atomic { restarts < 1 && author < 2 ->
                /* Restart: what it knew is gone, its author too. */
                restarts++;
                author = author + 2;
                usable = 0 }
            :: atomic { length < RECORDS ->
                if
                :: grant = 0
                :: grant = GRANT
                fi;
                place = length;
                put(DONE, author, turn, spent, held + grant, from_reserve);
                if
                :: from_reserve -> usable = usable + CEILING - spent
                :: else
                fi;
                if
                :: d_step { true -> fold(place + 1, 0); judge_end() }
#ifdef COMPACT
                :: read_later = true
#endif
                fi };
#ifdef COMPACT
                if
                :: read_later ->
                    d_step { read_later = false; fold_newest(); judge_end() }
                :: else
                fi
#else
                skip
#endif
            :: else -> skip
            fi
        :: else
        fi;
        d_step { grant = 0; held = 0; place = 0; spent = 0; turn = 0;
            runs = false; from_reserve = false };
#ifdef NO_READ_BACK
        if
        :: atomic { true -> view = length }     /* it reads */
        :: true
        fi
#endif
    :: else -> break
    od
}

#ifdef COPIED
/* An append takes effect once more, anywhere behind the first time. */
active proctype Log() {
    byte which = 0;
    do
    :: atomic { copies < COPIES && length > 0 && length < RECORDS ->
        which = 0;
        do
        :: which < length - 1 -> which++
        :: break
        od;
        put(records[which].kind, records[which].author, records[which].turn,
            records[which].tokens, records[which].granted,
            records[which].from_reserve);
        copies++;
        which = 0 }
    :: break
    od
}
#endif
