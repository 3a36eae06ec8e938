/*
 * Items of one batch job (internal/ledger) and the gateways that run them
 * (internal/batch).
 *
 * The ledger is one agreed log (consensus.pml), so each of its steps is atomic.
 * Workers lease an item, run it and report it. A worker may die at any moment,
 * an answer may be lost, a report may come late and again, and a lease may
 * expire at any moment: heartbeats and clocks are not relied on. An operator
 * may cancel the job, and resend the cancellation.
 *
 * Checked: an item gets at most one result, which never changes; a job ends
 * once, completed or cancelled, and nothing is recorded or leased afterwards; a
 * completed job has a result for each item; a cancellation and the completion
 * have one winner, and each caller is told which; a worker that was told of the
 * cancellation starts nothing; an item takes a bounded number of tries, and
 * ends as failed after them.
 *
 * Mutants, each of which must be found:
 *   NO_FENCE            a report counts without the current lease
 *   CANCEL_UNCHECKED    a report counts although the job was cancelled
 *   GRANT_AFTER_CANCEL  a lease is granted although the job was cancelled
 *   CANCEL_OVERRIDES    a cancellation ends a job that is completed
 *   UNBOUNDED_RETRY     a failed try is not counted
 *   IGNORE_VERDICT      a worker goes on after it was told to stop
 *   COMPLETE_TOO_EARLY  a job completes with the last lease, not the last result
 *
 * REACH asserts that no job completes with a failed and a succeeded item. It
 * must be violated: otherwise the other checks would say nothing.
 */

#ifndef ITEMS
#define ITEMS 2
#endif
#ifndef TRIES
#define TRIES 2
#endif
#ifndef FENCES
#define FENCES 5
#endif
#define WORKERS 2

/* States of the job. */
#define RUNNING 0
#define COMPLETED 1
#define CANCELLED 2

/* Results. */
#define NONE 0
#define SUCCEEDED 1
#define FAILED 2

/* The ledger. */
byte state = RUNNING;
byte fence;
byte lease[ITEMS];      /* the fence of the lease that holds the item, or 0 */
byte tries[ITEMS];
byte result[ITEMS];
byte resultFence[ITEMS];

/* What an observer knows. */
byte spent[ITEMS];      /* tries that gave no result */
byte ended;             /* how often the job ended */
bool told[WORKERS];     /* the worker was told to stop */

inline record(item, outcome, under) {
    assert(state == RUNNING);
    assert(result[item] == NONE);
    result[item] = outcome;
    resultFence[item] = under;
    lease[item] = 0;
    settle()
}

#define RECORDED(item) (result[item] != NONE)

/* Ends the job with its last result. */
inline settle() {
    if
#ifdef COMPLETE_TOO_EARLY
    :: state == RUNNING && lease[0] == 0 && lease[1] == 0 && (RECORDED(0) || RECORDED(1)) ->
#else
    :: state == RUNNING && RECORDED(0) && RECORDED(1) ->
#endif
        state = COMPLETED;
        ended++;
        assert(ended == 1);
        assert(RECORDED(0) && RECORDED(1));
#ifdef REACH
        assert(result[0] == result[1])
#endif
    :: else
    fi
}

/* Counts a start that gave no result; the last one ends the item as failed. */
inline countTry(item) {
    spent[item]++;
    assert(spent[item] <= TRIES);
#ifndef UNBOUNDED_RETRY
    tries[item]++;
#endif
    if
    :: tries[item] == TRIES -> record(item, FAILED, lease[item])
    :: else -> lease[item] = 0
    fi
}

#ifdef GRANT_AFTER_CANCEL
#define MAY_GRANT (state != COMPLETED)
#else
#define MAY_GRANT (state == RUNNING)
#endif

#ifdef CANCEL_UNCHECKED
#define MAY_REPORT(item, under) ((state == RUNNING || state == CANCELLED) && lease[item] == under)
#elif defined(NO_FENCE)
#define MAY_REPORT(item, under) (state == RUNNING && (lease[item] == under || result[item] == NONE))
#else
#define MAY_REPORT(item, under) (state == RUNNING && lease[item] == under)
#endif

inline grant(item) {
    atomic {
        MAY_GRANT && held == 0 && result[item] == NONE && lease[item] == 0 && fence < FENCES && !told[id] ->
        assert(state == RUNNING);
        fence++;
        lease[item] = fence;
        if
        :: held = fence; mine = item
        :: skip /* the answer is lost, or the worker has died */
        fi
    }
}

proctype worker(byte id) {
    byte held;      /* the fence of its lease, or 0 */
    byte mine;      /* its item */
    bool ran;       /* it has run the item */
    do
    :: grant(0)
    :: grant(1)
    :: atomic { held != 0 && !ran ->
#ifndef IGNORE_VERDICT
        if
        :: told[id] -> held = 0
        :: else ->
#endif
            assert(!told[id]);
            ran = true
#ifndef IGNORE_VERDICT
        fi
#endif
    }
    /* A heartbeat is answered: the lease holds on, or the worker must stop. */
    :: atomic { held != 0 && state != RUNNING && !told[id] -> told[id] = true }
    /* A report reaches the ledger; its answer may be lost, then it comes again. */
    :: atomic { held != 0 && ran ->
        if
        :: MAY_REPORT(mine, held) ->
#ifdef NO_FENCE
            /* The ledger forgets no lease that the report does not name. */
            assert(state == RUNNING && result[mine] == NONE);
            result[mine] = SUCCEEDED;
            resultFence[mine] = held;
            if
            :: lease[mine] == held -> lease[mine] = 0
            :: else
            fi;
            settle()
#else
            record(mine, SUCCEEDED, held)
#endif
        :: else
        fi;
        if
        :: held = 0; ran = false; mine = 0
        :: skip
        fi
    }
    /* The engine has failed: the try counts. */
    :: atomic { held != 0 && ran && MAY_REPORT(mine, held) && result[mine] == NONE ->
        countTry(mine);
        held = 0;
        ran = false;
        mine = 0
    }
    /* Given back before it ran: no try counts. */
    :: atomic { held != 0 && !ran ->
        if
        :: MAY_REPORT(mine, held) && result[mine] == NONE -> lease[mine] = 0
        :: else
        fi;
        held = 0;
        mine = 0
    }
    /* It dies. */
    :: atomic { held != 0 -> held = 0; ran = false; mine = 0; told[id] = false }
    od
}

inline expire(item) {
    atomic { state == RUNNING && lease[item] != 0 -> countTry(item) }
}

proctype time() {
    do
    :: expire(0)
    :: expire(1)
    od
}

/* Cancels, and resends until it has an answer. */
proctype canceller() {
    byte answer;
    byte first;
    do
    :: atomic {
        if
#ifdef CANCEL_OVERRIDES
        :: state != CANCELLED ->
#else
        :: state == RUNNING ->
#endif
            state = CANCELLED;
#ifndef CANCEL_UNCHECKED
            lease[0] = 0;
            lease[1] = 0;
#endif
            ended++;
            assert(ended == 1)
        :: else
        fi;
        answer = state;
        assert(answer != RUNNING);
        assert(first == RUNNING || first == answer);
        first = answer;
        if
        :: skip /* the answer is lost */
        :: break
        fi
    }
    od
}

/* A reader sees a result and then sees it again. */
proctype reader(byte item) {
    byte seen;
    byte seenFence;
    atomic { result[item] != NONE -> seen = result[item]; seenFence = resultFence[item] }
    atomic { true -> assert(result[item] == seen && resultFence[item] == seenFence) }
}

init {
    atomic {
        run worker(0);
        run worker(1);
        run time();
        run canceller();
        run reader(0)
    }
}
