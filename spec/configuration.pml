/* Two operators publish configuration against the version that they read;
 * two VMs follow the log or take records from each other.  See docs/MODEL.md.
 */

#define RECORDS 5

byte expected[RECORDS];
byte document[RECORDS];     /* who wrote it */
byte length;

byte in_force[2];           /* version, by VM */
byte in_force_document[2];
byte next_offset[2];
byte winner[6];             /* the document of each version */

active [2] proctype Operator() {
    byte seen;
    byte asked = 0;
    byte i;
    byte version;
    do
    :: atomic { asked < 2 && length < RECORDS ->
        /* Read the log up to now, then publish some time later. */
        version = 0; i = 0;
        do
        :: i < length ->
            if
            :: expected[i] == version -> version++
            :: else
            fi;
            i++
        :: else -> break
        od;
        seen = version; i = 0; version = 0 }
        if
        :: atomic { length < RECORDS ->
            expected[length] = seen;
            document[length] = _pid + 1;
            length++;
            asked++ }
        :: true -> asked++
        fi
    :: else -> break
    od
}

inline judge(vm, at) {
    if
#ifdef NO_COMPARE
    :: true ->
#else
    :: expected[at] == in_force[vm] ->
#endif
        in_force[vm] = expected[at] + 1;
        in_force_document[vm] = document[at];
        if
        :: winner[in_force[vm]] == 0 ->
            winner[in_force[vm]] = document[at]
        :: else
        fi;
        assert(winner[in_force[vm]] == document[at])
    :: else
    fi
}

active [2] proctype Vm() {
    byte me = _pid - 2;
    byte other = 1 - me;
    byte before;
    do
    :: atomic { next_offset[me] < length ->
        before = in_force[me];
        judge(me, next_offset[me]);
        next_offset[me]++;
        assert(in_force[me] >= before) }
    /* From a peer: only what is further on. */
#ifdef PEER_ANY_OFFSET
    :: atomic { in_force[other] != in_force[me] ->
#else
    :: atomic { next_offset[other] > next_offset[me] ->
#endif
        before = in_force[me];
        in_force[me] = in_force[other];
        in_force_document[me] = in_force_document[other];
        next_offset[me] = next_offset[other];
        assert(in_force[me] >= before) }
    /* A restart begins with nothing, from the log or a peer. */
    :: timeout -> break
    od
}
