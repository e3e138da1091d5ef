/* "There is no such turn": what a VM must have heard before it says so.  One
 * turn ends at one of three VMs: it stands in the log, or its author and one
 * more VM at least hold it.  Any call may fail and any entry may look expired
 * at any time, which covers every cut and its healing; appends take effect
 * late or never, also after their VM's restart.  A VM may start, leave, and
 * restart with all forgotten.  See docs/MODEL.md.
 */

#define VMS 3
#define ASKED 0             /* the VM whose caller goes on from the turn */
#define RESTARTS 2

#define OFF 0
#define UP 1
#define LEAVING 2           /* and when it has left */

#define NONE 0              /* the entry in the log's list of VMs */
#define HERE 1
#define GONE 2

#define FORGOT_OTHERS 1
#define FORGOT_IT 2

#define RUNNING 0           /* the turn */
#define ENDED 1
#define WHOLE 2             /* its caller was told so */
#define BROKEN 3

byte vm[VMS];
byte entry[VMS];
bool announced[VMS];        /* this incarnation knows that it is on the list */
bool announcing[VMS];       /* under way to the log */
bool leave_sent[VMS];       /* likewise */
byte forgot[VMS];           /* restarted, and says so when it is asked */
bool held[VMS];
byte turn = RUNNING;
byte author;
bool sent;                  /* the turn's record is under way to the log */
bool logged;
byte restarts;
bool is_asking;
bool is_done;               /* the question is answered */

#define anybody_holds (held[0] || held[1] || held[2])

#ifdef KEEP_UNANNOUNCED
#define is_listed(who) (true)
#else
#define is_listed(who) (announced[who])
#endif
#ifdef KEEP_AFTER_LEAVE
#define may_keep(who) (vm[who] != OFF && is_listed(who))
#else
#define may_keep(who) (vm[who] == UP && is_listed(who))
#endif
#ifdef LEAVE_EARLY
#define holds_nothing(who) (true)
#else
#define holds_nothing(who) (!held[who])
#endif
#ifdef LEAVE_FORGETFUL
#define remembers(who) (true)
#else
#define remembers(who) (!forgot[who])
#endif

proctype Vm(byte me) provided (!is_done) {
    byte other;
end:
    do
    /* -- the list ---------------------------------------------------- */
    :: atomic { vm[me] == OFF -> vm[me] = UP; announcing[me] = true }
    :: atomic { announcing[me] ->       /* takes effect */
        announcing[me] = false;
        entry[me] = HERE;
#ifndef LEAVE_ANY
        leave_sent[me] = false;         /* of an earlier incarnation */
#endif
        announced[me] = (vm[me] == UP) }
    :: atomic { vm[me] == UP && announced[me] && holds_nothing(me) &&
            remembers(me) ->
        vm[me] = LEAVING;
        leave_sent[me] = true }
    :: atomic { leave_sent[me] ->       /* takes effect */
        leave_sent[me] = false;
        entry[me] = GONE }
    /* -- forgetting -------------------------------------------------- */
    :: atomic { vm[me] != OFF && restarts < RESTARTS ->
        restarts++;
        if
        :: held[me] || forgot[me] == FORGOT_IT -> forgot[me] = FORGOT_IT
        :: else -> forgot[me] = FORGOT_OTHERS
        fi;
        held[me] = false;
        if
        :: turn == ENDED && author == me -> turn = BROKEN
        :: else
        fi;
        vm[me] = UP;
        announced[me] = false;
        announcing[me] = true }
    /* A long time after: longer than a question takes.  It may be too short
     * for a replica to get into the log, but not so short that all holders of
     * a turn are lost one after the other. */
    :: atomic { !is_asking && (forgot[me] == FORGOT_OTHERS ||
            (forgot[me] == FORGOT_IT && (logged || anybody_holds))) ->
        forgot[me] = 0 }
    /* -- the turn ---------------------------------------------------- */
    :: atomic { turn == RUNNING && vm[me] != OFF ->
        turn = ENDED; author = me; held[me] = true }
    :: atomic { turn == ENDED && author == me && logged -> turn = WHOLE }
    :: atomic { (turn == ENDED || turn == WHOLE) && author == me && held[me] &&
            may_keep(me) ->
        select(other : 0 .. 2);
        if
        :: other != me && may_keep(other) ->
            held[other] = true;
            if
            :: turn = WHOLE
            :: true                     /* the answer is lost */
            fi
        :: else
        fi;
        other = 0 }
    :: atomic { held[me] && !sent -> sent = true }
    :: atomic { sent && !logged -> logged = true }
#ifdef DROP_UNLOGGED
    :: atomic { held[me] -> held[me] = false }
#else
    :: atomic { held[me] && logged -> held[me] = false }
#endif
    od
}

bool listed[VMS];           /* as the asked VM read it */
bool asked[VMS];
byte unheard;

/* 503, or somebody knows the turn: no more to check */
inline give_up() { goto answered }

inline read_list() {
    atomic {
        at = 0;
        do
        :: at < VMS ->
            listed[at] = (entry[at] == HERE);
            if
            :: listed[at] && at != ASKED ->     /* it was not renewed */
#ifdef EXPIRED_IS_GONE
                listed[at] = false
#else
                give_up()
#endif
            :: true
            fi;
            at++
        :: else -> break
        od;
        at = 0 }
}

inline ask(who) {
    if
    :: atomic { who == ASKED || (listed[who] && vm[who] != OFF) ->
        asked[who] = true;
        if
        :: held[who] -> give_up()
#ifndef FORGETFUL
        :: !held[who] && forgot[who] -> give_up()
        :: !held[who] && !forgot[who]
#else
        :: !held[who]
#endif
        fi }
    :: atomic { who != ASKED && listed[who] ->  /* it can't be heard */
#ifdef FEW_UNHEARD
        asked[who] = true;
        unheard++;
        if
        :: unheard > 1 -> give_up()
        :: else
        fi
#else
        give_up()
#endif
        }
    :: atomic { who != ASKED && !listed[who] }
    fi
}

inline read_log() {
    atomic {
        if
        :: logged -> give_up()
        :: else
        fi }
}

#define all_asked ((asked[1] || !listed[1]) && (asked[2] || !listed[2]))

proctype Asked() {
    bool was_whole;
    byte at;
#if defined(OLD_LIST) || defined(ASK_OLD_LIST)
    read_list();
#endif
    atomic { was_whole = (turn == WHOLE); is_asking = true }
#ifdef NO_LOG_READ
    read_log();
#endif
#if !defined(OLD_LIST) && !defined(ASK_OLD_LIST)
    read_list();
#endif
    ask(0);
    ask(1);
    ask(2);
#ifdef LIST_AFTER_LOG
    read_log();
#endif
#ifdef ASK_OLD_LIST
    read_list();
#endif
#if !defined(NO_LOG_READ) && !defined(LIST_AFTER_LOG)
    read_log();
#endif
    /* If it has restarted since, there is nobody left to answer. */
    atomic {
        if
        :: all_asked && !forgot[ASKED] ->       /* 404 */
#ifdef NEVER_404
            assert(false)
#else
            assert(!was_whole)
#endif
        :: else
        fi }
answered:
    is_done = true
}

inline begin_listed(who) {
    vm[who] = UP; entry[who] = HERE; announced[who] = true
}

init {
    atomic {
        begin_listed(0);
        if
        :: begin_listed(1); begin_listed(2)
        :: begin_listed(1)
        :: true
        fi;
        run Vm(0); run Vm(1); run Vm(2); run Asked() }
}
