/* Read leases on configuration copies (guarantees G6 and G14). Three hosts;
 * time is discrete and represented by ages that stop at OLD. Reads, probes and
 * fetches may fail at any time, so every partition and store outage is covered.
 * With RESTART a host may restart once and fetch an old copy from a peer; with
 * DELAY an acknowledgement may arrive late.
 *
 * SETS selects the host set of each version:
 *   0: all three hosts in versions 1 and 2
 *   1: version 2 removes host 2
 *   2: versions 1, 2 and 3 name one, two and three hosts
 */

#define N 3
#ifndef T
#define T 1                  /* read lease duration in ticks */
#endif
#define OLD 3                /* more than T + 1 */
#ifndef SETS
#define SETS 0
#endif

#if SETS == 2
#define NEWEST 3
#define NAMED(v, h) ((h) < (v))
#define SIZE(v) (v)
#elif SETS == 1
#define NEWEST 2
#define NAMED(v, h) ((v) == 1 || (h) < 2)
#define SIZE(v) ((v) == 1 -> 3 : 2)
#else
#define NEWEST 2
#define NAMED(v, h) ((v) > 0)
#define SIZE(v) 3
#endif

/* The host that writes a change and decides when it is accepted. */
#if SETS == 2
#define WRITER 1
#else
#define WRITER 0
#endif

byte head = 1;
byte accepted = 1;
byte version[N];
byte staleness[N];           /* time since the copy was known to be fresh */
byte storeAge[N];            /* time since the last answer of the store */
bool established[N];         /* was known fresh at some time since its start */
byte upTime[N];
byte ackAge[9];              /* ackAge[i * N + j]: age of i's last ack from j */
byte ackVersion[9];
bool ackVotes[9];            /* i may count j in a majority */
byte restarts;

/* What the writer knows about the change at head. */
bool caughtUp[N];
byte sinceMajority = OLD;
bool majorityNoted;

/* An acknowledgement in flight. */
bool inFlight;
byte from, to, carriedVersion, carriedStaleness, flightAge;
bool carriedVote;

#define MIN(a, b) ((a) < (b) -> (a) : (b))
#define OLDER(a) MIN((a) + 1, OLD)
#define MAJORITY(v) (SIZE(v) / 2 + 1)

#ifdef NO_HIGHER
#define HIGHER(i, j) false
#else
#define HIGHER(i, j) (NAMED(version[i], j) && (j) != (i) && ackAge[(i) * N + (j)] <= T && ackVersion[(i) * N + (j)] > version[i])
#endif
#ifdef NO_ESTABLISHED
#define ESTABLISHED(i) true
#else
#define ESTABLISHED(i) established[i]
#endif
#ifdef COUNT_HIGHER
#define AGREES(i, j) (ackAge[(i) * N + (j)] <= T)
#else
#define AGREES(i, j) (ackAge[(i) * N + (j)] <= T && ackVotes[(i) * N + (j)])
#endif
#define VOTE(i, j) (NAMED(version[i], j) && ((j) == (i) || AGREES(i, j)) -> 1 : 0)
#ifdef NO_MAJORITY_TO_TRUST
#define MAJORITY_AGREES(i) true
#else
#define MAJORITY_AGREES(i) (VOTE(i, 0) + VOTE(i, 1) + VOTE(i, 2) >= MAJORITY(version[i]))
#endif
#define BY_MAJORITY(i) (storeAge[i] > T && ESTABLISHED(i) && MAJORITY_AGREES(i) && !HIGHER(i, 0) && !HIGHER(i, 1) && !HIGHER(i, 2))
#ifdef TRUST_UNNAMED
#define MAY_SERVE(i) (version[i] > 0)
#else
#define MAY_SERVE(i) (version[i] > 0 && NAMED(version[i], i))
#endif
#define FRESH(i) (staleness[i] <= T)
#define LEASE_VALID(i) (MAY_SERVE(i) && (FRESH(i) || BY_MAJORITY(i)))
#define SERVES_STALE(i) (version[i] < accepted && LEASE_VALID(i))

inline Check()
{
  /* No host serves from a copy older than the accepted version. */
  assert(!SERVES_STALE(0) && !SERVES_STALE(1) && !SERVES_STALE(2))
}

/* Freshness from before the start of this process does not count: an earlier
 * process at this address may have acknowledged a newer version. */
#ifdef PROOF_BEFORE_START
#define SINCE_START(i, age) true
#else
#define SINCE_START(i, age) ((age) < upTime[i])
#endif

inline RecordFreshness(i, age)
{
  if
  :: SINCE_START(i, age) -> staleness[i] = MIN(staleness[i], age); established[i] = true
  :: else
  fi
}

inline ClearInFlight()
{
  inFlight = false; carriedVersion = 0; carriedStaleness = 0; carriedVote = false;
  from = 0; to = 0; flightAge = 0
}

/* The newest version cannot be stale, so the state behind its lease is reset to
 * keep the state space small. */
inline ResetNewest(i)
{
#if !defined(NO_HIGHER)
  if
  :: version[i] == NEWEST ->
     staleness[i] = OLD; storeAge[i] = OLD; established[i] = true; upTime[i] = OLD;
     ackAge[i * N] = OLD; ackAge[i * N + 1] = OLD; ackAge[i * N + 2] = OLD;
     ackVersion[i * N] = 0; ackVersion[i * N + 1] = 0; ackVersion[i * N + 2] = 0;
     ackVotes[i * N] = 0; ackVotes[i * N + 1] = 0; ackVotes[i * N + 2] = 0
  :: else
  fi
#else
  skip
#endif
}

inline Restart(i)
{
  version[i] = 0; staleness[i] = OLD; storeAge[i] = OLD; established[i] = false;
  upTime[i] = 0;
  j = 0;
  do
  :: j < N -> ackAge[i * N + j] = OLD; ackVersion[i * N + j] = 0; ackVotes[i * N + j] = false; j++
  :: j == N -> break
  od;
  j = 0;
  if
  :: inFlight && to == i -> ClearInFlight()
  :: else
  fi
}

/* Hosts whose recorded acknowledgements no later check reads. */
#if SETS == 2
#define UNUSED(i) (version[i] == NEWEST || (i) == 2)
#else
#define UNUSED(i) (version[i] == NEWEST || (i == WRITER && head == 1))
#endif

/* An acknowledgement is not recorded if it can neither count for a majority nor
 * report a higher version. */
inline Acknowledge()
{
#if defined(NO_HIGHER) || SETS == 2
#define IS_USEFUL (carriedVersion > version[i] || carriedVote)
#else
#define IS_USEFUL (carriedVersion > version[i] || (carriedVote && version[i] > 0))
#endif
  if /* An older acknowledgement does not replace a newer one. */
  :: flightAge > ackAge[i * N + j] -> skip
  :: flightAge <= ackAge[i * N + j] && UNUSED(i) -> skip
  :: flightAge <= ackAge[i * N + j] && !UNUSED(i) && IS_USEFUL ->
     ackAge[i * N + j] = flightAge; ackVersion[i * N + j] = carriedVersion;
     ackVotes[i * N + j] = carriedVote
  :: else -> ackAge[i * N + j] = OLD; ackVersion[i * N + j] = 0; ackVotes[i * N + j] = false
  fi;
  if
  :: carriedVersion <= version[i] && carriedVersion > 0 && carriedStaleness + flightAge <= T ->
     RecordFreshness(i, carriedStaleness + flightAge)
  :: else
  fi;
  if :: i == WRITER && carriedVersion == head -> caughtUp[j] = true :: else fi;
  ClearInFlight()
}

inline FillAck(peer)
{
  carriedVersion = version[peer]; carriedStaleness = staleness[peer];
#ifdef IGNORE_STORE_CONTACT
  carriedVote = ESTABLISHED(peer)
#else
  carriedVote = (storeAge[peer] > T) && ESTABLISHED(peer)
#endif
}

#define HOST_DONE(h) (!NAMED(head, h) || caughtUp[h])
#ifdef NO_RETIRED
#define REMOVED_DONE true
#else
/* For acceptance by all hosts, the hosts removed by the change count too. */
#define REMOVED_DONE ((!NAMED(head - 1, 0) || caughtUp[0]) && (!NAMED(head - 1, 1) || caughtUp[1]) && (!NAMED(head - 1, 2) || caughtUp[2]))
#endif
#define ALL_DONE (HOST_DONE(0) && HOST_DONE(1) && HOST_DONE(2) && REMOVED_DONE)
#define CAUGHT_UP_COUNT(h) (NAMED(head, h) && caughtUp[h] -> 1 : 0)
#ifdef NO_MAJORITY_TO_ACCEPT
#define HAS_MAJORITY true
#else
#define HAS_MAJORITY (CAUGHT_UP_COUNT(0) + CAUGHT_UP_COUNT(1) + CAUGHT_UP_COUNT(2) >= MAJORITY(head))
#endif
#ifdef NO_SERIAL
#define MAY_WRITE true
#else
#define MAY_WRITE (accepted == head)
#endif

init
{
  byte i, j;
  /* Version 1 is in force on all its hosts. */
  atomic {
    i = 0;
    do
    :: i < N ->
       version[i] = 1; upTime[i] = OLD; established[i] = true;
       staleness[i] = OLD; storeAge[i] = OLD;
       j = 0;
       do
       :: j < N -> ackAge[i * N + j] = OLD; j++
       :: j == N -> break
       od;
       i++
    :: i == N -> break
    od;
    i = 0; j = 0
  };
  do
  :: d_step { /* time advances; expired ages are all set to OLD */
       i = 0;
       do
       :: i < N ->
#ifndef NO_EXPIRY
          staleness[i] = (staleness[i] < T -> staleness[i] + 1 : OLD);
#endif
          storeAge[i] = (storeAge[i] < T -> storeAge[i] + 1 : OLD);
          upTime[i] = (established[i] -> OLD : OLDER(upTime[i]));
          i++
       :: i == N -> break
       od;
       i = 0;
       do
       :: i < 9 ->
          if
          :: ackAge[i] < T -> ackAge[i]++
          :: else -> ackAge[i] = OLD; ackVersion[i] = 0; ackVotes[i] = false
          fi;
          i++
       :: i == 9 -> break
       od;
       i = 0;
       sinceMajority = (majorityNoted -> MIN(sinceMajority + 1, T + 1) : OLD);
#ifdef AGE_FROM_RECEIPT
       flightAge = (inFlight -> MIN(flightAge + 1, T + 1) : 0);
#else
       flightAge = (inFlight -> flightAge + 1 : 0);
#endif
       if
#ifndef AGE_FROM_RECEIPT
       :: inFlight && flightAge > T -> ClearInFlight()
#endif
       :: else
       fi;
       Check() }
  :: atomic { /* a host reads the store and fetches missing changes */
       if :: i = 0 :: i = 1 :: i = 2 fi;
       version[i] = head; storeAge[i] = 0; staleness[i] = 0; established[i] = true;
       if :: i == WRITER -> caughtUp[i] = true :: else fi;
       ResetNewest(i); i = 0; Check() }
  :: atomic { /* a host fetches a copy from a peer */
       if :: i = 0 :: i = 1 :: i = 2 fi; if :: j = 0 :: j = 1 :: j = 2 fi;
       if
#ifdef APPLY_LOWER
       :: version[j] != version[i] && version[j] != 0 -> version[i] = version[j]
#else
       :: version[j] > version[i] -> version[i] = version[j]
#endif
       :: else
       fi;
       if :: i == WRITER && version[i] == head -> caughtUp[i] = true :: else fi;
       ResetNewest(i); i = 0; j = 0; Check() }
#ifdef DELAY
  :: atomic { !inFlight -> /* a probe, and its acknowledgement in flight */
       if :: i = 0 :: i = 1 :: i = 2 fi; if :: j = 0 :: j = 1 :: j = 2 fi;
       if
       :: i != j -> inFlight = true; to = i; from = j; flightAge = 0; FillAck(j)
       :: else
       fi; i = 0; j = 0 }
  :: atomic { inFlight -> i = to; j = from;
#ifdef AGE_FROM_RECEIPT
       flightAge = 0;
#endif
       Acknowledge(); i = 0; j = 0; Check() }
  /* The writer learns that a host has the change, independently of the late
   * acknowledgement. */
  :: atomic { if :: j = 1 :: j = 2 fi;
       if
       :: version[j] == head -> caughtUp[j] = true
       :: else
       fi; j = 0 }
#else
  /* Immediate delivery gives the longest lease, since an acknowledgement counts
   * from when its probe was sent. DELAY covers late ones. */
  :: atomic { if :: i = 0 :: i = 1 :: i = 2 fi; if :: j = 0 :: j = 1 :: j = 2 fi;
       if
       :: i != j -> FillAck(j); Acknowledge()
       :: else
       fi; i = 0; j = 0; Check() }
#endif
  :: atomic { head < NEWEST && MAY_WRITE && version[WRITER] == head ->
       head++; majorityNoted = false; sinceMajority = OLD;
       i = 0; do :: i < N -> caughtUp[i] = false; i++ :: i == N -> break od; i = 0;
       version[WRITER] = head; caughtUp[WRITER] = true; ResetNewest(WRITER) }
  :: atomic { accepted < head && !majorityNoted && version[WRITER] == head && HAS_MAJORITY -> majorityNoted = true; sinceMajority = 0 }
  :: atomic { accepted < head && version[WRITER] == head &&
#ifdef NO_WAIT
       (ALL_DONE || majorityNoted) ->
#else
       (ALL_DONE || (majorityNoted && sinceMajority > T)) ->
#endif
       accepted = head; Check() }
#ifdef RESTART
  :: atomic { restarts < 1 -> restarts++;
       if :: i = 0 :: i = 1 :: i = 2 fi; Restart(i);
       if /* a restarted writer does not accept its earlier change */
       :: i == WRITER && accepted < head -> majorityNoted = false; caughtUp[0] = false; caughtUp[1] = false; caughtUp[2] = false; sinceMajority = OLD
       :: else
       fi; i = 0 }
#endif
  od
}
