/*
 * A request that may not be repeated, under one idempotency key: the record in
 * the ledger (internal/ledger/records.go), the gateways that ask for it
 * (internal/gateway/records.go) and the back end (internal/upstream).
 *
 * A caller sends the request and resends it, through any gateway and at the
 * same time as well; each arrival is an owner of its own. The record is asked
 * for before dispatch. Answers of the ledger may be lost, calls to it may come
 * late, gateways may die at any moment, the back end's answer may be lost after
 * the request ran, and a started record is given up after any time.
 *
 * Checked: the request runs at most once; "not run" is true for the arrival that
 * is told so; an answer that is given is the answer of the run.
 *
 * Mutants, each of which must be found:
 *   BLIND_RETRY             a record that is given up becomes free again
 *   DISPATCH_BEFORE_RECORD  the request is sent before the record is granted
 *   GRANT_TWICE             a started record is granted to a second owner
 *   RETRY_AFTER_SEND        the exchange is tried again after it may have run
 *   USE_LOST_GRANT          a gateway sends although the grant was not confirmed,
 *                           and frees the key at the same time
 *
 * REACH asserts that no second owner is granted the record. It must be violated,
 * since a first owner may end as not run: otherwise the other checks would say
 * nothing.
 */

#ifndef ARRIVALS
#define ARRIVALS 3
#endif

/* States of the record. */
#define ABSENT 0
#define STARTED 1
#define FINISHED 2
#define NOT_RUN 3
#define UNKNOWN 4

byte record = ABSENT;
byte owner;       /* arrival + 1 */
byte runs;        /* how often the back end ran the request */

/* A Begin of an owner reaches the ledger. */
inline begin(granted) {
    granted = false;
    if
    :: record == ABSENT || (record == NOT_RUN && owner != id + 1) ->
        record = STARTED;
#ifdef REACH
        assert(owner == 0);
#endif
        owner = id + 1;
        granted = true
#ifdef GRANT_TWICE
    :: record == STARTED -> granted = true
#else
    :: record == STARTED && owner == id + 1 -> granted = true
#endif
    :: else
    fi
}

/* A Finish of an owner reaches the ledger. */
inline finish(final) {
    if
    :: owner == id + 1 && record == STARTED -> record = final
    :: owner == id + 1 && record == UNKNOWN && final == FINISHED -> record = FINISHED
    :: else
    fi
}

proctype arrival(byte id) {
    bool granted;
    bool ran;
    bool frees;  /* a Finish as not run is under way */
    bool begins; /* a Begin is under way although nobody waits for it */

#ifdef DISPATCH_BEFORE_RECORD
    atomic { runs++; ran = true; assert(runs <= 1) }
#endif
    /* The record is asked for. */
    if
    :: atomic { true -> begin(granted) }
    :: atomic { /* the answer is lost, or the call itself is late or lost */
        if
        :: true -> begin(granted)
        :: begins = true
        :: skip
        fi;
        granted = false;
        frees = true
    }
    fi;
    if
    :: frees ->
#ifdef USE_LOST_GRANT
        if
        :: granted = true; goto dispatch
        :: skip
        fi;
#endif
        assert(!ran); /* told that it did not run */
        /* What is under way arrives in any order, or never. */
        do
        :: atomic { frees -> finish(NOT_RUN); frees = false }
        :: atomic { begins -> begin(granted); granted = false; begins = false }
        :: break
        od;
        goto done
    :: !frees && !granted ->
        /* Replayed: the first answer, "in progress" or "outcome unknown". */
        assert(record != FINISHED || runs == 1);
        goto done
    :: !frees && granted -> skip
    fi;

dispatch:
    if
    :: goto done /* the gateway dies before it sends */
    :: skip
    fi;
    if
    :: atomic { /* no byte reached a back end, or it provably refused */
        assert(!ran || runs > 0);
        frees = true
    }
    :: atomic { runs++; ran = true; assert(runs <= 1) }
    fi;
#ifdef RETRY_AFTER_SEND
    if
    :: atomic { ran -> runs++; assert(runs <= 1) }
    :: skip
    fi;
#endif
    if
    :: goto done /* it dies before it records the end */
    :: skip
    fi;
    if
    :: ran ->
        if
        :: atomic { true -> finish(FINISHED) } /* the whole answer came */
        :: atomic { true -> finish(UNKNOWN) }  /* the answer was cut off */
        :: skip                        /* the call to the ledger is lost */
        fi
    :: !ran ->
        if
        :: atomic { true -> finish(NOT_RUN) }
        :: skip
        fi;
        assert(!ran)
    fi;
done:
    skip
}

/* A started record is given up after some time. */
proctype time() {
end:
    do
    :: atomic { record == STARTED ->
#ifdef BLIND_RETRY
        record = NOT_RUN
#else
        record = UNKNOWN
#endif
    }
    od
}

init {
    byte next;
    atomic {
        run time();
        do
        :: next < ARRIVALS -> run arrival(next); next++
        :: else -> break
        od
    }
}
