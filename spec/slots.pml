/* One slot, one program, one call that may not be repeated and one unit of
 * money, between two VMs that pause, die, restart and whose appends are late,
 * doubled or lost.  See docs/MODEL.md.
 *
 * The fold is a function of the log's prefix, so the log itself is not kept:
 * `truth` is the fold of all that took effect, and a VM's view is the truth
 * at the time that it last read.  A process that is slow here stands for one
 * that is paused or cut off.
 *
 * Faults, each a -D flag, leave one rule out; every one must be found.
 */

#define VMS 2
#ifndef EPOCHS
#define EPOCHS 2           /* claims that can count */
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#define LIMBO 2            /* appends under way */
#define NOBODY 0

mtype = { CLAIM, INTENT, ABORT, TURN, RESERVE };

typedef Record {
    mtype kind;
    byte epoch;            /* of its author */
    byte sequence;
    byte author;           /* incarnation */
    byte intent_epoch;     /* of an abort or a turn: the intent it closes */
    byte intent_sequence;
    bool used
};

typedef Fold {
    byte epoch;
    byte owner;            /* incarnation */
    byte sequence;
    bool open;             /* an intent is open */
    byte open_epoch;
    byte open_sequence;
    bool turned;           /* the step has its turn */
    byte allowance;        /* money reserved ahead */
    byte spent
};

#define LIMIT 1
#define closes(rec) (truth.open && truth.open_epoch == rec.intent_epoch && truth.open_sequence == rec.intent_sequence)

Record limbo[LIMBO];
Fold truth;

/* What each incarnation's own records came to, as the log's order decided:
 * 0 not yet, 1 counted, 2 not counted.  Read back only through `seen`. */
byte intent_verdict[6];
byte turn_verdict[6];

byte incarnations = VMS + 1;/* next fresh incarnation; at most 4 in all */
byte dispatches;           /* of the call that may not be repeated */
/* A request is one call of the caller, however often it is asked for.  "Not
 * run" speaks for all that the refusing owner and those before it were asked:
 * it is broken by a dispatch under the same or an earlier epoch. */
byte dispatched_epoch;     /* of the dispatch; 0 for none */
byte refused_epoch;        /* of the latest refusal; 0 for none */
byte used_money;           /* what repeatable calls really cost */
byte turns_counted;
bool answered;             /* somebody was told the turn, not as held */

inline append(new_kind, new_epoch, new_sequence, new_author, new_closed_epoch, new_closed_sequence) {
    /* With LIMBO appends under way, a further one is lost. */
    if
    :: !limbo[0].used -> at = 0; fill(new_kind, new_epoch, new_sequence, new_author, new_closed_epoch, new_closed_sequence)
    :: limbo[0].used && !limbo[1].used -> at = 1; fill(new_kind, new_epoch, new_sequence, new_author, new_closed_epoch, new_closed_sequence)
    :: else -> skip
    fi
}

inline fill(new_kind, new_epoch, new_sequence, new_author, new_closed_epoch, new_closed_sequence) {
    limbo[at].used = true;
    limbo[at].kind = new_kind;
    limbo[at].epoch = new_epoch;
    limbo[at].sequence = new_sequence;
    limbo[at].author = new_author;
    limbo[at].intent_epoch = new_closed_epoch;
    limbo[at].intent_sequence = new_closed_sequence
}

inline check_fence(rec) {
    fenced = false;
#ifndef NO_EPOCH
    if :: rec.epoch != truth.epoch -> fenced = true :: else fi;
#endif
#ifndef NO_SEQUENCE
    if :: rec.sequence <= truth.sequence -> fenced = true :: else fi;
#endif
    if
    :: !fenced && rec.sequence > truth.sequence ->
        truth.sequence = rec.sequence
    :: else
    fi
}

inline apply(rec) {
    if
    :: rec.kind == CLAIM ->
        if
        :: rec.epoch == truth.epoch + 1 ->
            truth.epoch = rec.epoch;
            truth.owner = rec.author;
            truth.sequence = 0;
#ifndef NO_CLAIM_CHARGE
            truth.spent = truth.spent + truth.allowance;
            truth.allowance = 0
#endif
        :: else
        fi
    :: rec.kind == RESERVE ->
        check_fence(rec);
        if
        :: !fenced && truth.spent + truth.allowance < LIMIT ->
            truth.allowance = truth.allowance + 1
        :: else
        fi
    :: rec.kind == INTENT ->
        check_fence(rec);
        if
#ifdef NO_FIRST_INTENT
        :: !fenced && !truth.turned ->
#else
        :: !fenced && !truth.turned && !truth.open ->
#endif
            truth.open = true;
            truth.open_epoch = rec.epoch;
            truth.open_sequence = rec.sequence;
            intent_verdict[rec.author] = 1
        :: else ->
            if
            :: intent_verdict[rec.author] == 0 ->
                intent_verdict[rec.author] = 2
            :: else
            fi
        fi
    :: rec.kind == ABORT ->
        check_fence(rec);
        if
        :: !fenced && closes(rec) ->
            truth.open = false
        :: else
        fi
    :: rec.kind == TURN ->
#ifdef NO_PARENT
        if
        :: true ->
#else
        if
        :: !truth.turned && closes(rec) ->
#endif
            truth.turned = true;
            truth.open = false;
            turns_counted++;
            assert(turns_counted <= 1);
            turn_verdict[rec.author] = 1
        :: else ->
            if
            :: turn_verdict[rec.author] == 0 -> turn_verdict[rec.author] = 2
            :: else
            fi
        fi
    fi
}

/* The log: whatever is under way takes effect at any time, in any order,
 * once or twice, or never. */
active proctype Log() {
    byte at;
    bool fenced;
    do
    :: atomic { limbo[0].used -> apply(limbo[0]); limbo[0].used = false }
    :: atomic { limbo[1].used -> apply(limbo[1]); limbo[1].used = false }
#ifdef DOUBLES
    :: atomic { limbo[0].used -> apply(limbo[0]) }
#endif
    od
}

inline read_log() {
    view.epoch = truth.epoch;
    view.owner = truth.owner;
    view.sequence = truth.sequence;
    view.open = truth.open;
    view.open_epoch = truth.open_epoch;
    view.open_sequence = truth.open_sequence;
    view.turned = truth.turned;
    view.allowance = truth.allowance;
    view.spent = truth.spent;
    seen_intent = intent_verdict[me];
    seen_turn = turn_verdict[me]
}

inline forget() {
    my_epoch = 0; my_sequence = 0;
    intended = false; gave_up = false; ran = false; turn_sent = false;
    spent_mine = false; seen_intent = 0; seen_turn = 0;
    view.epoch = 0; view.owner = NOBODY; view.open = false;
    view.turned = false; view.allowance = 0; view.spent = 0;
    view.sequence = 0; view.open_epoch = 0; view.open_sequence = 0
}

inline refuse(under) {
    if
    :: refused_epoch < under -> refused_epoch = under
    :: else
    fi;
    assert(dispatched_epoch == 0 || dispatched_epoch > under)
}

#define owning (view.owner == me)

active [VMS] proctype Vm() {
    byte me = _pid;          /* the incarnation */
    byte at;
    Fold view;
    byte seen_intent;
    byte seen_turn;
    byte my_epoch;           /* epoch and sequence of my intent */
    byte my_sequence;
    byte my_last;            /* last sequence that I used, in my_last_epoch */
    byte my_last_epoch;
    bool intended;           /* I appended an intent */
    bool gave_up;            /* ... and told its caller "not run" */
    bool ran;                /* I dispatched */
    bool turn_sent;
    bool spent_mine;         /* I spent the allowance of my epoch */
    view.owner = NOBODY;
    do
    :: atomic { read_log() }

    :: atomic { !owning && view.epoch < EPOCHS ->
        append(CLAIM, view.epoch + 1, 0, me, 0, 0) }

#ifndef MONEY
    /* A caller asks; asked again after no answer, it is the same request. */
    :: atomic { owning && !intended && !view.open && !view.turned &&
                !refused_epoch ->
        if :: my_last_epoch != view.epoch -> my_last = 0 :: else fi;
        my_last_epoch = view.epoch;
        if :: view.sequence > my_last -> my_last = view.sequence :: else fi;
        my_last++;
        my_epoch = view.epoch;
        my_sequence = my_last;
        intended = true;
        append(INTENT, my_epoch, my_sequence, me, 0, 0) }

#ifdef DOUBLES
    /* The answer of the append was lost: send the same record again. */
    :: atomic { intended && seen_intent == 0 && !ran ->
        append(INTENT, my_epoch, my_sequence, me, 0, 0) }
#endif

    /* Dispatch once the intent is read back as counted. */
#ifdef DISPATCH_EARLY
    :: atomic { intended && !gave_up && !ran ->
#else
    :: atomic { intended && seen_intent == 1 && !gave_up && !ran ->
#endif
        ran = true;
        dispatches++;
        dispatched_epoch = my_epoch;
        assert(dispatches <= 1);
        assert(refused_epoch < my_epoch) }

    /* Give up waiting: it has not been dispatched and never will be here. */
    :: atomic { intended && seen_intent != 1 && !ran && !gave_up ->
        gave_up = true;
        refuse(my_epoch) }

    :: atomic { gave_up && seen_intent == 1 && my_epoch == view.epoch &&
                my_last < 4 ->
        my_last++;
        append(ABORT, my_epoch, my_last, me, my_epoch, my_sequence) }

    /* After an abort, or an intent that does not count, try anew. */
    :: atomic { gave_up && seen_intent == 2 ->
        intended = false; gave_up = false }

    /* Refuse outright, as the owner that knows of no intent. */
    :: atomic { owning && !intended && !view.open && !view.turned ->
        refuse(view.epoch) }

    /* The outcome. */
    :: atomic { ran && !turn_sent ->
        turn_sent = true;
        append(TURN, my_epoch, 0, me, my_epoch, my_sequence) }
#ifdef ANSWER_EARLY
    :: atomic { turn_sent && !answered ->
        answered = true; assert(truth.turned) }
#else
    :: atomic { turn_sent && seen_turn == 1 && !answered ->
        answered = true; assert(truth.turned) }
#endif

    /* A former owner's open intent: never run again, closed as unknown. */
    :: atomic { owning && view.open && view.open_epoch != view.epoch &&
                !turn_sent ->
#ifdef TAKE_OLD_INTENT
        dispatches++;
        assert(dispatches <= 1);
#endif
        append(TURN, view.epoch, 0, me, view.open_epoch,
               view.open_sequence) }

#endif

#ifdef MONEY
    /* Money for calls that may be repeated: reserve, then spend. */
    :: atomic { owning && view.allowance == 0 && view.spent < LIMIT &&
                my_last < 3 ->
        if :: my_last_epoch != view.epoch -> my_last = 0 :: else fi;
        my_last_epoch = view.epoch;
        if :: view.sequence > my_last -> my_last = view.sequence :: else fi;
        my_last++;
        append(RESERVE, view.epoch, my_last, me, 0, 0) }
    :: atomic { owning && view.allowance > 0 && !spent_mine ->
        spent_mine = true;
        used_money++;
        assert(used_money <= LIMIT) }

#endif

    /* The process dies; a fresh incarnation knows nothing. */
    :: atomic { incarnations <= VMS + RESTARTS ->
        me = incarnations;
        incarnations++;
        forget();
        my_last = 0; my_last_epoch = 0 }
    od
}
