/* VMs that stop while the log is unavailable: one turn stands with two of four
 * VMs, and is never recorded.  VMs stop in any order, also several at once,
 * and do not come back; one at least stays.  A VM that stops gives what it
 * holds to two VMs that stay, or to the only one, and ends after that.
 * Requests that are under way take effect later, as long as who was asked is
 * there.  The turn must never be lost.  See docs/MODEL.md.
 */

#define VMS 4

#define OFF 0
#define STOPPING 1
#define UP 2

byte vm[VMS];
bool held[VMS];
byte staying = VMS;

#ifdef KEEP_WHILE_STOPPING
#define may_keep(who) (vm[who] != OFF)
#else
#define may_keep(who) (vm[who] == UP)
#endif

#define anybody_holds (held[0] || held[1] || held[2] || held[3])

proctype Vm(byte me) {
    byte other;
    byte taken = 0;
    bool asked[VMS];
end:
    do
    :: atomic { vm[me] == UP && staying > 1 ->
        vm[me] = STOPPING; staying-- }
    :: atomic { vm[me] == STOPPING && held[me] && taken < 2 ->
        select(other : 0 .. 3);
        if
        :: other != me && !asked[other] && may_keep(other) ->
            held[other] = true;
            asked[other] = true;
            taken++
        :: else
        fi;
        other = 0 }
#ifdef END_WITHOUT
    :: atomic { vm[me] == STOPPING ->
#else
    :: atomic { vm[me] == STOPPING && (!held[me] || taken > 1 ||
            (taken == 1 && staying == 1)) ->
#endif
        vm[me] = OFF;
        held[me] = false;
        assert(anybody_holds);
        break }
    od
}

init {
    atomic {
        byte at;
        for (at : 0 .. 3) { vm[at] = UP }
        held[0] = true;
        held[1] = true;
        run Vm(0); run Vm(1); run Vm(2); run Vm(3) }
}
