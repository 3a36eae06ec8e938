/*
 * How a configuration is accepted by the root group (internal/catalog) and
 * followed by a daemon (internal/follower).
 *
 * Two operators apply files. Operator 0 and operator 1 race with different
 * contents under the same number; a third caller applies an old file again.
 * Answers may be lost, and an operator that got none resends the same file.
 * The group is one agreed log (consensus.pml); its control machines serve reads
 * from what they have applied, so a machine that is cut off serves old ones.
 * A daemon asks any machine at any time, puts what it stored in force, and
 * restarts with what it stored.
 *
 * Checked: of one number only one content is ever accepted, and every operator
 * whose content was not accepted is told so; an operator that resends after a
 * lost answer is told the same acceptance; no file is accepted twice; the number
 * in force at a daemon never falls, restarts included, and a daemon with a
 * number has the content that was accepted under it.
 *
 * Mutants, each of which must be found:
 *   NO_COMPARE_AND_SET  a file is accepted whatever the number in force
 *   MOVE_BACK           a daemon takes whatever a control machine serves
 *   FORCE_BEFORE_SYNC   a daemon puts a configuration in force, then stores it
 *   RESEND_IS_CONFLICT  a resend of the accepted file is answered as a conflict
 *   NUMBER_ONLY         a resend is recognised by its number, not its content
 *
 * REACH asserts that no daemon gets the last number. It must be violated:
 * otherwise the other checks would say nothing.
 */

#ifndef NUMBERS
#define NUMBERS 3
#endif
#define MACHINES 2
#define DAEMONS 1

/* Outcomes of a call. */
#define NONE 0
#define ACCEPTED 1
#define CONFLICT 2

/* The content of a file is the operator that wrote it, from 1; 0 is empty. */
#define CONTENT(operator) ((operator) + 1)

/* The agreed log: the content accepted under each number, and the newest. */
byte accepted[NUMBERS + 1];
byte newest;
byte acceptances[NUMBERS + 1];

/* What each control machine has applied. */
byte applied[MACHINES];

/* A daemon: what it stored and what is in force, with contents. */
byte stored[DAEMONS];
byte storedContent[DAEMONS];
byte inForce[DAEMONS];
byte contentInForce[DAEMONS];
byte highest[DAEMONS]; /* what an observer saw in force, over all restarts */

/* The decision of catalog.Machine.accept. */
inline decide(number, content, outcome) {
    if
#ifdef NO_COMPARE_AND_SET
    :: true ->
#else
    :: number == newest + 1 ->
#endif
        newest = number;
        accepted[number] = content;
        acceptances[number]++;
        outcome = ACCEPTED
#ifndef NO_COMPARE_AND_SET
#ifdef NUMBER_ONLY
    :: number <= newest -> outcome = ACCEPTED
#elif defined(RESEND_IS_CONFLICT)
    :: number <= newest -> outcome = CONFLICT
#else
    :: number <= newest && accepted[number] == content -> outcome = ACCEPTED
    :: number <= newest && accepted[number] != content -> outcome = CONFLICT
#endif
    :: number > newest + 1 -> outcome = CONFLICT
#endif
    fi
}

/* An operator applies the next number that it knows of, resends until it has an
 * answer, and goes on with another file. */
proctype operator(byte id) {
    byte number;
    byte outcome;
    byte first; /* what the log decided at the first try */
    bool begun;
    do
    :: !begun ->
        atomic {
            /* It reads the number in force, perhaps from a machine that lags. */
            if
            :: number = applied[0] + 1
            :: number = applied[1] + 1
            fi;
            if
            :: number > NUMBERS -> break
            :: else -> begun = true
            fi
        }
    :: begun ->
        atomic {
            decide(number, CONTENT(id), outcome);
            if
            :: first == NONE -> first = outcome
            :: first == ACCEPTED ->
                /* A resend of what was accepted is told the same acceptance. */
                assert(outcome == ACCEPTED)
            :: else
            fi;
            assert(acceptances[number] <= 1);
            assert(outcome != ACCEPTED || accepted[number] == CONTENT(id));
            if
            :: outcome = NONE /* the answer is lost: resend */
            :: begun = false; first = NONE; outcome = NONE; number = 0
            fi
        }
    od
}

/* A caller applies the first file again, long after. */
proctype oldFile() {
    byte outcome;
    byte before;
    atomic {
        newest > 1 && accepted[1] != 0 ->
        before = newest;
        decide(1, accepted[1], outcome);
        assert(newest == before)
    }
}

/* A control machine applies the agreed log, or restarts from its start. */
proctype machine(byte id) {
    do
    :: atomic { applied[id] < newest -> applied[id]++ }
    :: atomic { applied[id] > 0 -> applied[id] = 0 }
    od
}

inline observe(id) {
    assert(inForce[id] >= highest[id]);
    assert(inForce[id] == 0 || contentInForce[id] == accepted[inForce[id]]);
#ifdef REACH
    assert(inForce[id] < NUMBERS);
#endif
    highest[id] = inForce[id]
}

/* A daemon asks a machine; the answer arrives at any time later, so it is a
 * copy that may be old by then. It stores and syncs, then puts in force. */
proctype daemon(byte id) {
    byte answer;
    byte content;
    do
    :: atomic {
        answer = 0;
        if
        :: answer = applied[0]
        :: answer = applied[1]
        fi;
        if
        :: answer > 0 -> content = accepted[answer]
        :: else -> content = 0
        fi
    }
#ifdef MOVE_BACK
    :: atomic { answer != inForce[id] ->
#else
    :: atomic { answer > inForce[id] ->
#endif
#ifdef FORCE_BEFORE_SYNC
        inForce[id] = answer;
        contentInForce[id] = content;
        observe(id)
    }
#else
        stored[id] = answer;
        storedContent[id] = content
    }
    :: atomic { stored[id] != inForce[id] ->
        inForce[id] = stored[id];
        contentInForce[id] = storedContent[id];
        observe(id)
    }
#endif
#ifdef FORCE_BEFORE_SYNC
    :: atomic { stored[id] != inForce[id] ->
        stored[id] = inForce[id];
        storedContent[id] = contentInForce[id]
    }
#endif
    :: atomic { /* restart */
        answer = 0;
        content = 0;
        inForce[id] = stored[id];
        contentInForce[id] = storedContent[id];
        observe(id)
    }
    od
}

init {
    atomic {
        run operator(0);
        run operator(1);
        run oldFile();
        run machine(0);
        run machine(1);
        run daemon(0)
    }
}
