/*
 * Leases of the leader of one replicated group over restarts, as internal/raft
 * decides them.
 *
 * A leader may serve reads while a majority has promised to vote for nobody
 * else: its lease. A promise lives in memory, so that a replica which restarts
 * may have made one, and votes for nobody for as long as one lasts. Where all
 * voters have restarted that wait protects nobody, and an election that needs
 * the votes of all of them goes without it. Whoever holds a lease is one of
 * them: it has not restarted, and grants no vote. It would do no harm if it did
 * (VOTE_THOUGH_PROMISED), since it gives the lease up as it votes.
 *
 * Time passes in ticks that all replicas count alike. A heartbeat reaches any
 * majority in one step: that a promise begins later than the lease that rests
 * on it makes it only longer. Any process may restart at any moment, and any
 * set of replicas may be the one that is reached.
 *
 * Checked: nobody holds a lease beside the leader of a newer term.
 *
 * Mutants, each of which must be found:
 *   VOTE_AFTER_RESTART      a replica that restarts votes at once
 *   UNANIMOUS_BY_MAJORITY   a majority wins the election that needs all votes
 *   KEEP_LEASE_AFTER_VOTE   a leader that votes for another one keeps its lease
 *                           (with VOTE_THOUGH_PROMISED)
 *
 * REACH asserts that no election that needs all votes is won. It must be
 * violated: otherwise the check would say nothing of it.
 */

#define REPLICAS 3
#define TERMS 4
/* Ticks for which a promise lasts, and the lease that rests on it. */
#define PROMISE 2

#define BIT(id) (1 << (id))
#define COUNT(set) (((set) & 1) + (((set) >> 1) & 1) + (((set) >> 2) & 1))
#define ALL 7
#define MAJORITY(set) (2 * COUNT(set) > REPLICAS)

byte term[REPLICAS];
bool leads[REPLICAS];
/* How many ticks a replica still votes for nobody, for a leader that it heard or
 * may have heard before its restart. */
byte promised[REPLICAS];
byte lease[REPLICAS];
/* The replica has neither led nor heard a leader since its start. */
bool restarted[REPLICAS];
bool won;

hidden byte other;

inline restart(id) {
    d_step {
        leads[id] = false;
        lease[id] = 0;
        restarted[id] = true;
#ifdef VOTE_AFTER_RESTART
        promised[id] = 0
#else
        promised[id] = PROMISE
#endif
    }
}

/* A leader renews its lease with the promises of a majority. */
inline heartbeat(id, set) {
    d_step {
        leads[id] && (set & BIT(id)) && MAJORITY(set) ->
        other = 0;
        do
        :: other < REPLICAS && (!(set & BIT(other)) || term[other] <= term[id]) -> other++
        :: else -> break
        od;
        if
        :: other == REPLICAS ->
            other = 0;
            do
            :: other < REPLICAS ->
                if
                :: set & BIT(other) ->
                    if
                    :: other != id -> leads[other] = false; lease[other] = 0; restarted[other] = false
                    :: else
                    fi;
                    term[other] = term[id];
                    promised[other] = PROMISE
                :: else
                fi;
                other++
            :: else -> break
            od;
            lease[id] = PROMISE
        :: else
        fi
    }
}

/* A replica's promise binds its vote, unless all votes are needed and it has restarted. */
#ifdef VOTE_THOUGH_PROMISED
#define FREE(id, needsAll) (promised[id] == 0 || needsAll)
#else
#define FREE(id, needsAll) (promised[id] == 0 || (needsAll && restarted[id]))
#endif

/* A set of voters elects a replica in the term after its own. */
inline elect(id, set, needsAll) {
    d_step {
        (set & BIT(id)) && !leads[id] && term[id] + 1 < TERMS && (!needsAll || restarted[id]) ->
        other = 0;
        do
        :: other < REPLICAS && (!(set & BIT(other)) || (term[other] <= term[id] && FREE(other, needsAll))) -> other++
        :: else -> break
        od;
        if
        :: other == REPLICAS ->
            other = 0;
            do
            :: other < REPLICAS ->
                if
                :: (set & BIT(other)) && other != id ->
                    term[other] = term[id] + 1;
                    leads[other] = false;
#ifndef KEEP_LEASE_AFTER_VOTE
                    lease[other] = 0;
#endif
                :: else
                fi;
                other++
            :: else -> break
            od;
            term[id]++;
            leads[id] = true;
            restarted[id] = false;
            won = won || needsAll
        :: else
        fi
    }
}

inline tick() {
    d_step {
        other = 0;
        do
        :: other < REPLICAS ->
            if
            :: promised[other] > 0 -> promised[other]--
            :: else
            fi;
            if
            :: lease[other] > 0 -> lease[other]--
            :: else
            fi;
            other++
        :: else -> break
        od
    }
}

#ifdef UNANIMOUS_BY_MAJORITY
#define ELECT_ALL :: elect(_pid, 3, true) :: elect(_pid, 5, true) :: elect(_pid, 6, true)
#else
#define ELECT_ALL :: elect(_pid, ALL, true)
#endif

#define STALE(old, new) (lease[old] > 0 && leads[new] && term[new] >= term[old])

active [REPLICAS] proctype replica() {
    do
    :: restart(_pid)
    :: heartbeat(_pid, 3)
    :: heartbeat(_pid, 5)
    :: heartbeat(_pid, 6)
    :: heartbeat(_pid, ALL)
    :: elect(_pid, 3, false)
    :: elect(_pid, 5, false)
    :: elect(_pid, 6, false)
    :: elect(_pid, ALL, false)
    ELECT_ALL
    od
}

active proctype clock() {
    do
    :: tick()
    od
}

/* Stops the search at the first state that breaks the check. */
active proctype observer() {
    do
    :: STALE(0, 1) || STALE(0, 2) || STALE(1, 0) || STALE(1, 2) || STALE(2, 0) || STALE(2, 1) -> assert(false)
#ifdef REACH
    :: won -> assert(false)
#endif
    od
}
