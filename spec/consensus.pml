/*
 * Leadership and commit of one replicated group, as internal/raft decides them
 * and internal/replica changes the membership after a lost disk.
 *
 * A replica is the identity of a disk. Replicas 0, 1 and 2 found the group.
 * Replica 3 is the disk that replaces disk 2, whether that one was lost or is
 * only cut off: it joins as a learner, is promoted once it holds what was
 * committed, and then disk 2 is removed. With -DREPLICAS=5 a group of five
 * founders runs without a replacement.
 *
 * The network is the log that the leader of each term has made so far, from
 * which any replica may receive any entry at any later time, and the highest
 * index that a replica ever acknowledged in that term. So messages may be
 * lost, late, repeated and reordered, and an acknowledgement outlives its disk.
 *
 * Checked: at most one leader a term; a leader holds every entry that was
 * committed in an earlier term; a committed entry never changes; after each loss an intact disk holds every
 * committed entry.
 *
 * With -DSLOW_SYNC the leader's log is synced after others may have it, and a
 * restart loses what was not synced; without it the two are one step.
 *
 * With -DELECT_IN_ONE_STEP an election is one step of a majority in any later
 * term, which allows larger bounds; without it each vote is a step.
 *
 * Mutants, each of which must be found:
 *   VOTE_AFTER_DISK_LOSS       a lost disk comes back empty under its identity
 *   COUNT_COPY_BEFORE_REPAIRED a promoted copy counts as if it held the log
 *   SWAP_IN_ONE_STEP           disk 2 is replaced by disk 3 in one change
 *   CHANGE_BEFORE_COMMIT       a change starts while another is not committed
 *   FORGET_VOTE                a restart forgets the vote
 *   ANSWER_BEFORE_SYNC         an entry is acknowledged before it is synced
 *   VOTE_WITHOUT_LOG_CHECK     a candidate's log is not compared
 *   COMMIT_OLDER_TERM          an entry of an older term is committed by counting
 *   LOSSES_TOGETHER            the second loss does not wait for the repair:
 *                              more than three replicas survive
 *
 * REACH asserts that the last loss never comes with a full log committed. It
 * must be violated: otherwise the other checks would say nothing.
 */

#ifndef REPLICAS
#define REPLICAS 3
#endif
#ifndef TERMS
#define TERMS 3
#endif
#ifndef ENTRIES
#define ENTRIES 4
#endif
#ifndef COMMANDS
#define COMMANDS ENTRIES
#endif
#ifndef LOSSES
#define LOSSES 2
#endif

#if REPLICAS == 3
#define IDENTITIES 4
#define FOUNDERS 7
#define BOTH 15
#define REPLACED 11
#else
#define IDENTITIES 5
#define FOUNDERS 31
#endif

#define OLD_DISK 2
#define NEW_DISK 3

/* Roles. */
#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

/* Kinds of entries. */
#define COMMAND 0
#define PROMOTE 1
#define REMOVE 2

#define ENTRY(entry_term, kind) ((entry_term) * 4 + (kind))
#define TERM_OF(entry) ((entry) >> 2)
#define KIND_OF(entry) ((entry) & 3)

/* Positions count from 0; a length of n holds positions 0 to n-1. */
#define LOG(id, position) log[(id) * ENTRIES + (position)]
#define SENT(at, position) sent[((at) - 1) * ENTRIES + (position)]
#define MATCH(at, id) match[((at) - 1) * IDENTITIES + (id)]

#define BIT(id) (1 << (id))
#define COUNT(set) (((set) & 1) + (((set) >> 1) & 1) + (((set) >> 2) & 1) + (((set) >> 3) & 1) + (((set) >> 4) & 1))
#define MAJORITY(set, members) (2 * COUNT((set) & (members)) > COUNT(members))

/* Stored by each replica. */
byte term[IDENTITIES];
byte vote[IDENTITIES];    /* identity + 1, or 0 */
byte length[IDENTITIES];
byte log[IDENTITIES * ENTRIES];

/* Held in memory by each replica. */
byte role[IDENTITIES];
byte granted[IDENTITIES]; /* set of identities */
byte commit[IDENTITIES];  /* a leader's, as a length */
bool lost[IDENTITIES];

/* The network. */
byte leader[TERMS];       /* identity + 1, or 0 */
byte sent[TERMS * ENTRIES];
byte sentLength[TERMS];
byte match[TERMS * IDENTITIES];

/* What an observer knows. */
byte committed[ENTRIES];
byte committedIn[ENTRIES]; /* the term of the leader that committed the entry */
byte committedLength;
byte proposed;
byte losses;
bool repaired;

hidden byte members;
hidden byte changedAt;    /* length of the log up to the newest change */
hidden byte position;
hidden byte holders;
hidden byte other;

/* The membership in effect at a replica, committed or not. */
inline findMembers(id) {
    members = FOUNDERS;
    changedAt = 0;
#if REPLICAS == 3
    position = 0;
    do
    :: position < length[id] ->
        if
        :: KIND_OF(LOG(id, position)) == PROMOTE -> members = BOTH; changedAt = position + 1
        :: KIND_OF(LOG(id, position)) == REMOVE -> members = REPLACED; changedAt = position + 1
        :: else
        fi;
        position++
    :: else -> break
    od
#endif
}

/* Leaves leadership or candidacy. */
inline follow(id) {
    if
    :: role[id] == LEADER ->
        position = 0;
        do
        :: position < IDENTITIES -> MATCH(term[id], position) = 0; position++
        :: else -> break
        od
    :: else
    fi;
    role[id] = FOLLOWER;
    granted[id] = 0;
    commit[id] = 0
}

inline enterTerm(id, at) {
    follow(id);
    if
    :: term[id] != at -> term[id] = at; vote[id] = 0
    :: else
    fi
}

inline campaign(id) {
    d_step {
        !lost[id] && role[id] != LEADER && term[id] < TERMS ->
        findMembers(id);
        if
        :: members & BIT(id) ->
            enterTerm(id, term[id] + 1);
            role[id] = CANDIDATE;
            vote[id] = id + 1;
            granted[id] = BIT(id)
        :: else
        fi
    }
}

/* The log of a candidate holds at least what a voter's log holds. */
#define LAST_TERM(id) (length[id] == 0 -> 0 : TERM_OF(LOG(id, length[id] - 1)))
#ifdef VOTE_WITHOUT_LOG_CHECK
#define UP_TO_DATE(candidate, voter) true
#else
#define UP_TO_DATE(candidate, voter) \
    (LAST_TERM(candidate) > LAST_TERM(voter) || \
    (LAST_TERM(candidate) == LAST_TERM(voter) && length[candidate] >= length[voter]))
#endif

inline answerVote(voter, candidate) {
    d_step {
        !lost[voter] && role[candidate] == CANDIDATE && !(granted[candidate] & BIT(voter)) &&
        (term[voter] < term[candidate] || (term[voter] == term[candidate] && vote[voter] == 0)) ->
        enterTerm(voter, term[candidate]);
        if
        :: UP_TO_DATE(candidate, voter) ->
            vote[voter] = candidate + 1;
            granted[candidate] = granted[candidate] | BIT(voter)
        :: else
        fi
    }
}

/* Takes over leadership of the term that the replica is in. */
inline beginLeading(id) {
    assert(leader[term[id] - 1] == 0);
    leader[term[id] - 1] = id + 1;
    role[id] = LEADER;
    granted[id] = 0;
    position = 0;
    do
    :: position < length[id] -> SENT(term[id], position) = LOG(id, position); position++
    :: else -> break
    od;
    sentLength[term[id] - 1] = length[id];
    MATCH(term[id], id) = length[id];
    position = 0;
    do
    :: position < committedLength ->
        /* A late leader of an older term may lack entries, and commits nothing. */
        assert(committedIn[position] > term[id] || position < length[id]);
        assert(committedIn[position] > term[id] || LOG(id, position) == committed[position]);
        position++
    :: else -> break
    od
}

inline lead(id) {
    d_step {
        role[id] == CANDIDATE ->
        findMembers(id);
        if
        :: MAJORITY(granted[id], members) -> beginLeading(id)
        :: else
        fi
    }
}

#ifdef ELECT_IN_ONE_STEP
/* A set of voters elects a replica in any later term. */
inline elect(id, set, at) {
    d_step {
        (set & BIT(id)) && !lost[id] && role[id] != LEADER && term[id] < at ->
        findMembers(id);
        if
        :: (set & members) == set && MAJORITY(set, members) ->
            other = 0;
            do
            :: other < IDENTITIES && (!(set & BIT(other)) ||
               (!lost[other] && term[other] < at && UP_TO_DATE(id, other))) -> other++
            :: else -> break
            od;
            if
            :: other == IDENTITIES ->
                other = 0;
                do
                :: other < IDENTITIES ->
                    if
                    :: set & BIT(other) -> enterTerm(other, at)
                    :: else
                    fi;
                    other++
                :: else -> break
                od;
                beginLeading(id)
            :: else
            fi
        :: else
        fi
    }
}

#define ELECT(set) :: elect(id, set, 1) :: elect(id, set, 2) ELECT_IN_3(set) ELECT_IN_4(set)
#if TERMS > 2
#define ELECT_IN_3(set) :: elect(id, set, 3)
#else
#define ELECT_IN_3(set)
#endif
#if TERMS > 3
#define ELECT_IN_4(set) :: elect(id, set, 4)
#else
#define ELECT_IN_4(set)
#endif
#endif

inline extend(id, kind) {
    LOG(id, length[id]) = ENTRY(term[id], kind);
    SENT(term[id], length[id]) = ENTRY(term[id], kind);
    length[id]++;
    sentLength[term[id] - 1] = length[id];
#ifndef SLOW_SYNC
    MATCH(term[id], id) = length[id]
#endif
}

inline propose(id) {
    d_step {
        role[id] == LEADER && length[id] < ENTRIES && proposed < COMMANDS ->
        proposed++;
        extend(id, COMMAND)
    }
}

/* An entry of the leader's own term is committed. */
#define COMMITTED_IN_TERM(id) (commit[id] > 0 && TERM_OF(LOG(id, commit[id] - 1)) == term[id])

#ifdef CHANGE_BEFORE_COMMIT
#define MAY_CHANGE(id) true
#else
#define MAY_CHANGE(id) (changedAt <= commit[id] && COMMITTED_IN_TERM(id))
#endif

/* The new disk is promoted once it holds everything that is committed. */
inline promote(id) {
    d_step {
        role[id] == LEADER && length[id] < ENTRIES && id != OLD_DISK ->
        findMembers(id);
        if
#ifdef SWAP_IN_ONE_STEP
        :: members == FOUNDERS && MAY_CHANGE(id) -> extend(id, REMOVE)
#endif
#ifdef COUNT_COPY_BEFORE_REPAIRED
        :: members == FOUNDERS && MAY_CHANGE(id) ->
            extend(id, PROMOTE);
            MATCH(term[id], NEW_DISK) = ENTRIES
#else
        :: members == FOUNDERS && MAY_CHANGE(id) && MATCH(term[id], NEW_DISK) >= commit[id] ->
            extend(id, PROMOTE)
#endif
        :: else
        fi
    }
}

inline remove(id) {
    d_step {
        role[id] == LEADER && length[id] < ENTRIES && id != OLD_DISK ->
        findMembers(id);
        if
        :: members == BOTH && MAY_CHANGE(id) -> extend(id, REMOVE)
        :: else
        fi
    }
}

#ifdef SLOW_SYNC
/* The leader's own log counts once it is synced, which may be after others did. */
inline syncOwn(id) {
    d_step {
        role[id] == LEADER && MATCH(term[id], id) < length[id] -> MATCH(term[id], id) = length[id]
    }
}
#endif

/* A replica receives the entry at a position from the leader of a term. */
inline receive(id, at, place) {
    d_step {
        !lost[id] && leader[at - 1] != 0 && leader[at - 1] != id + 1 && term[id] <= at &&
        place < sentLength[at - 1] &&
        (place == 0 || (length[id] >= place && LOG(id, place - 1) == SENT(at, place - 1))) ->
        enterTerm(id, at);
        if
        :: length[id] > place && LOG(id, place) == SENT(at, place)
        :: else ->
            position = place;
            do
            :: position < ENTRIES -> LOG(id, position) = 0; position++
            :: else -> break
            od;
            LOG(id, place) = SENT(at, place);
            length[id] = place + 1
        fi;
        other = leader[at - 1] - 1;
        if
        :: role[other] == LEADER && term[other] == at && MATCH(at, id) < place + 1 ->
            MATCH(at, id) = place + 1
        :: else
        fi
    }
}

#ifdef COMMIT_OLDER_TERM
#define COUNTS(id, position) true
#else
#define COUNTS(id, position) (TERM_OF(LOG(id, position)) == term[id])
#endif

/* The leader commits up to a position that a majority has synced. */
inline advance(id, place) {
    d_step {
        role[id] == LEADER && place < length[id] && commit[id] <= place && COUNTS(id, place) ->
        findMembers(id);
        holders = 0;
        position = 0;
        do
        :: position < IDENTITIES ->
            if
            :: MATCH(term[id], position) > place -> holders = holders | BIT(position)
            :: else
            fi;
            position++
        :: else -> break
        od;
        if
        :: MAJORITY(holders, members) ->
            commit[id] = place + 1;
            position = 0;
            do
            :: position <= place ->
                if
                :: position < committedLength -> assert(committed[position] == LOG(id, position))
                :: else -> 
                    committed[position] = LOG(id, position);
                    committedIn[position] = term[id];
                    committedLength = position + 1
                fi;
                if
                :: KIND_OF(LOG(id, position)) == REMOVE -> repaired = true
                :: else
                fi;
                position++
            :: else -> break
            od
        :: else
        fi
    }
}

/* A process ends and starts again with what it has synced. */
inline restart(id) {
    d_step {
        !lost[id] && (role[id] != FOLLOWER || vote[id] != 0) ->
        if
        :: role[id] == LEADER && MATCH(term[id], id) < length[id] ->
            position = MATCH(term[id], id);
            length[id] = position;
            do
            :: position < ENTRIES -> LOG(id, position) = 0; position++
            :: else -> break
            od
        :: else
        fi;
        follow(id);
#ifdef FORGET_VOTE
        vote[id] = 0
#endif
    }
}

#ifdef ANSWER_BEFORE_SYNC
/* A crash tears off the last entry, which was acknowledged already. */
inline tear(id) {
    d_step {
        !lost[id] && role[id] == FOLLOWER && length[id] > 0 ->
        length[id]--;
        LOG(id, length[id]) = 0
    }
}
#endif

/* An intact disk holds each committed entry. */
inline checkCopies() {
    holders = 0;
    other = 0;
    do
    :: other < IDENTITIES ->
        if
        :: !lost[other] && length[other] >= committedLength ->
            holders++;
            position = 0;
            do
            :: position < committedLength ->
                if
                :: LOG(other, position) != committed[position] -> holders--; break
                :: else
                fi;
                position++
            :: else -> break
            od
        :: else
        fi;
        other++
    :: else -> break
    od;
    assert(holders > 0);
#ifdef REACH
    assert(losses < LOSSES || committedLength < ENTRIES)
#endif
}

/* The founders are alike, so the first loss may be taken to be disk 2. */
#if REPLICAS == 5
#define MAY_BE_LOST(id) (id == 4 - losses)
#elif defined(LOSSES_TOGETHER)
#define MAY_BE_LOST(id) (losses > 0 || id == OLD_DISK)
#else
#define MAY_BE_LOST(id) ((losses == 0 && id == OLD_DISK) || (losses == 1 && repaired))
#endif

inline lose(id) {
    d_step {
        !lost[id] && losses < LOSSES && MAY_BE_LOST(id) ->
        losses++;
        follow(id);
        term[id] = 0;
        vote[id] = 0;
        length[id] = 0;
        position = 0;
        do
        :: position < ENTRIES -> LOG(id, position) = 0; position++
        :: else -> break
        od;
#ifndef VOTE_AFTER_DISK_LOSS
        lost[id] = true;
#endif
        checkCopies()
    }
}

#define PLACES(step, id, at) \
    :: step(id, at, 0) \
    :: step(id, at, 1) \
    PLACES_FROM_2(step, id, at) \
    PLACES_FROM_3(step, id, at)
#if ENTRIES > 2
#define PLACES_FROM_2(step, id, at) :: step(id, at, 2)
#else
#define PLACES_FROM_2(step, id, at)
#endif
#if ENTRIES > 3
#define PLACES_FROM_3(step, id, at) :: step(id, at, 3)
#else
#define PLACES_FROM_3(step, id, at)
#endif

proctype replica(byte id) {
    do
    :: propose(id)
#if REPLICAS == 3
    :: promote(id)
    :: remove(id)
#endif
#ifdef SLOW_SYNC
    :: syncOwn(id)
#endif
    :: restart(id)
    :: lose(id)
#ifdef ANSWER_BEFORE_SYNC
    :: tear(id)
#endif
#ifdef ELECT_IN_ONE_STEP
#if REPLICAS == 3
    ELECT(3) ELECT(5) ELECT(6) ELECT(9) ELECT(10) ELECT(12)
#else
    ELECT(19) ELECT(21) ELECT(22) ELECT(25) ELECT(26) ELECT(28)
#endif
    ELECT(7) ELECT(11) ELECT(13) ELECT(14)
#else
    :: campaign(id)
    :: lead(id)
    :: answerVote(id, 0)
    :: answerVote(id, 1)
    :: answerVote(id, 2)
    :: answerVote(id, 3)
#if REPLICAS == 5
    :: answerVote(id, 4)
#endif
#endif
    :: advance(id, 0)
    :: advance(id, 1)
#if ENTRIES > 2
    :: advance(id, 2)
#endif
#if ENTRIES > 3
    :: advance(id, 3)
#endif
    PLACES(receive, id, 1)
    PLACES(receive, id, 2)
#if TERMS > 2
    PLACES(receive, id, 3)
#endif
#if TERMS > 3
    PLACES(receive, id, 4)
#endif
    od
}

init {
    atomic {
        run replica(0);
        run replica(1);
        run replica(2);
        run replica(3);
#if REPLICAS == 5
        run replica(4)
#endif
    }
}
