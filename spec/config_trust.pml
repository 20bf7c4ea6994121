/* Trust in configuration copies (G6, G14). Three hosts, discrete time as ages
 * that stop at OLD. Reads, probes and fetches may fail at any time, so every
 * partition and store outage is covered. With RESTART a host
 * may restart once and fetch an old copy from a peer; with DELAY an
 * acknowledgement arrives late.
 *
 * SETS selects the host set of each version:
 *   0: all three hosts in versions 1 and 2
 *   1: version 2 removes host 2
 *   2: versions 1, 2 and 3 name one, two and three hosts
 */

#define N 3
#ifndef T
#define T 1                  /* trust time in ticks */
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

/* The daemon that writes and confirms changes. */
#if SETS == 2
#define WRITER 1
#else
#define WRITER 0
#endif

byte head = 1;
byte accepted = 1;
byte version[N];
byte proof[N];               /* age of the proof of version[] */
byte storeAge[N];            /* age of the last answer of the store */
bool established[N];         /* had a proof dated after its start */
byte upTime[N];
byte ackAge[9];              /* ackAge[i * N + j]: i's last ack from j */
byte ackVersion[9];
bool ackVotes[9];            /* j may be counted in a majority */
byte restarts;

/* The writer's view of the change at head. */
bool caughtUp[N];
byte sinceMajority = OLD;
bool majorityNoted;

/* One acknowledgement on its way. */
bool flying;
byte from, to, carriedVersion, carriedProof, flightAge;
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
#define ENOUGH(i) true
#else
#define ENOUGH(i) (VOTE(i, 0) + VOTE(i, 1) + VOTE(i, 2) >= MAJORITY(version[i]))
#endif
#define BY_MAJORITY(i) (storeAge[i] > T && ESTABLISHED(i) && ENOUGH(i) && !HIGHER(i, 0) && !HIGHER(i, 1) && !HIGHER(i, 2))
#ifdef TRUST_UNNAMED
#define MAY_TRUST(i) (version[i] > 0)
#else
#define MAY_TRUST(i) (version[i] > 0 && NAMED(version[i], i))
#endif
#define BY_PROOF(i) (proof[i] <= T)
#define TRUSTED(i) (MAY_TRUST(i) && (BY_PROOF(i) || BY_MAJORITY(i)))
#define STALE(i) (version[i] < accepted && TRUSTED(i))

inline Check()
{
  /* No host serves from a copy older than an accepted version. */
  assert(!STALE(0) && !STALE(1) && !STALE(2))
}

/* A proof that dates from before the start of this process says nothing of
 * what an earlier process at this address acknowledged. */
#ifdef PROOF_BEFORE_START
#define COUNTS(i, age) true
#else
#define COUNTS(i, age) ((age) < upTime[i])
#endif

inline Prove(i, age)
{
  if
  :: COUNTS(i, age) -> proof[i] = MIN(proof[i], age); established[i] = true
  :: else
  fi
}

inline Landed()
{
  flying = false; carriedVersion = 0; carriedProof = 0; carriedVote = false;
  from = 0; to = 0; flightAge = 0
}

/* The newest version cannot be stale, so what made it trusted is forgotten
 * to keep the state space small. */
inline Forget(i)
{
#if !defined(NO_HIGHER)
  if
  :: version[i] == NEWEST ->
     proof[i] = OLD; storeAge[i] = OLD; established[i] = true; upTime[i] = OLD;
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
  version[i] = 0; proof[i] = OLD; storeAge[i] = OLD; established[i] = false;
  upTime[i] = 0;
  j = 0;
  do
  :: j < N -> ackAge[i * N + j] = OLD; ackVersion[i * N + j] = 0; ackVotes[i * N + j] = false; j++
  :: j == N -> break
  od;
  j = 0;
  if
  :: flying && to == i -> Landed()
  :: else
  fi
}

/* Acknowledgements that no later check reads. */
#if SETS == 2
#define UNUSED(i) (version[i] == NEWEST || (i) == 2)
#else
#define UNUSED(i) (version[i] == NEWEST || (i == WRITER && head == 1))
#endif

/* An acknowledgement that can neither vote nor warn is not kept. */
inline Acknowledge()
{
#if defined(NO_HIGHER) || SETS == 2
#define USEFUL (carriedVersion > version[i] || carriedVote)
#else
#define USEFUL (carriedVersion > version[i] || (carriedVote && version[i] > 0))
#endif
  if /* An older acknowledgement does not replace a newer one. */
  :: flightAge > ackAge[i * N + j] -> skip
  :: flightAge <= ackAge[i * N + j] && UNUSED(i) -> skip
  :: flightAge <= ackAge[i * N + j] && !UNUSED(i) && USEFUL ->
     ackAge[i * N + j] = flightAge; ackVersion[i * N + j] = carriedVersion;
     ackVotes[i * N + j] = carriedVote
  :: else -> ackAge[i * N + j] = OLD; ackVersion[i * N + j] = 0; ackVotes[i * N + j] = false
  fi;
  if
  :: carriedVersion <= version[i] && carriedVersion > 0 && carriedProof + flightAge <= T ->
     Prove(i, carriedProof + flightAge)
  :: else
  fi;
  if :: i == WRITER && carriedVersion == head -> caughtUp[j] = true :: else fi;
  Landed()
}

inline Fill(peer)
{
  carriedVersion = version[peer]; carriedProof = proof[peer];
#ifdef IGNORE_STORE_CONTACT
  carriedVote = ESTABLISHED(peer)
#else
  carriedVote = (storeAge[peer] > T) && ESTABLISHED(peer)
#endif
}

#define IN_FULL(h) (!NAMED(head, h) || caughtUp[h])
#ifdef NO_RETIRED
#define RETIRED_DONE true
#else
/* Hosts that the change removed count for the quick acceptance too. */
#define RETIRED_DONE ((!NAMED(head - 1, 0) || caughtUp[0]) && (!NAMED(head - 1, 1) || caughtUp[1]) && (!NAMED(head - 1, 2) || caughtUp[2]))
#endif
#define FULL (IN_FULL(0) && IN_FULL(1) && IN_FULL(2) && RETIRED_DONE)
#define HAS(h) (NAMED(head, h) && caughtUp[h] -> 1 : 0)
#ifdef NO_MAJORITY_TO_ACCEPT
#define MOST true
#else
#define MOST (HAS(0) + HAS(1) + HAS(2) >= MAJORITY(head))
#endif
#ifdef NO_SERIAL
#define MAY_WRITE true
#else
#define MAY_WRITE (accepted == head)
#endif

init
{
  byte i, j;
  /* Version 1 is in force everywhere it names. */
  atomic {
    i = 0;
    do
    :: i < N ->
       version[i] = 1; upTime[i] = OLD; established[i] = true;
       proof[i] = OLD; storeAge[i] = OLD;
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
  :: d_step { /* time; what has expired is set to one value */
       i = 0;
       do
       :: i < N ->
#ifndef NO_EXPIRY
          proof[i] = (proof[i] < T -> proof[i] + 1 : OLD);
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
       flightAge = (flying -> MIN(flightAge + 1, T + 1) : 0);
#else
       flightAge = (flying -> flightAge + 1 : 0);
#endif
       if
#ifndef AGE_FROM_RECEIPT
       :: flying && flightAge > T -> Landed()
#endif
       :: else
       fi;
       Check() }
  :: atomic { /* a host reads the store and fetches what is missing */
       if :: i = 0 :: i = 1 :: i = 2 fi;
       version[i] = head; storeAge[i] = 0; proof[i] = 0; established[i] = true;
       if :: i == WRITER -> caughtUp[i] = true :: else fi;
       Forget(i); i = 0; Check() }
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
       Forget(i); i = 0; j = 0; Check() }
#ifdef DELAY
  :: atomic { !flying -> /* a probe and its acknowledgement */
       if :: i = 0 :: i = 1 :: i = 2 fi; if :: j = 0 :: j = 1 :: j = 2 fi;
       if
       :: i != j -> flying = true; to = i; from = j; flightAge = 0; Fill(j)
       :: else
       fi; i = 0; j = 0 }
  :: atomic { flying -> i = to; j = from;
#ifdef AGE_FROM_RECEIPT
       flightAge = 0;
#endif
       Acknowledge(); i = 0; j = 0; Check() }
  /* The writer hears of its change beside the late acknowledgement. */
  :: atomic { if :: j = 1 :: j = 2 fi;
       if
       :: version[j] == head -> caughtUp[j] = true
       :: else
       fi; j = 0 }
#else
  /* Delivery at once gives the most trust, since an acknowledgement counts
   * from when its probe was sent; DELAY covers late ones. */
  :: atomic { if :: i = 0 :: i = 1 :: i = 2 fi; if :: j = 0 :: j = 1 :: j = 2 fi;
       if
       :: i != j -> Fill(j); Acknowledge()
       :: else
       fi; i = 0; j = 0; Check() }
#endif
  :: atomic { head < NEWEST && MAY_WRITE && version[WRITER] == head ->
       head++; majorityNoted = false; sinceMajority = OLD;
       i = 0; do :: i < N -> caughtUp[i] = false; i++ :: i == N -> break od; i = 0;
       version[WRITER] = head; caughtUp[WRITER] = true; Forget(WRITER) }
  :: atomic { accepted < head && !majorityNoted && version[WRITER] == head && MOST -> majorityNoted = true; sinceMajority = 0 }
  :: atomic { accepted < head && version[WRITER] == head &&
#ifdef NO_WAIT
       (FULL || majorityNoted) ->
#else
       (FULL || (majorityNoted && sinceMajority > T)) ->
#endif
       accepted = head; Check() }
#ifdef RESTART
  :: atomic { restarts < 1 -> restarts++;
       if :: i = 0 :: i = 1 :: i = 2 fi; Restart(i);
       if /* a restarted writer does not confirm its change */
       :: i == WRITER && accepted < head -> majorityNoted = false; caughtUp[0] = false; caughtUp[1] = false; caughtUp[2] = false; sinceMajority = OLD
       :: else
       fi; i = 0 }
#endif
  od
}
