/*
 * A step whose append or claim gets no answer while it stops or changes hands.
 *
 * Two hosts run one step of N log entries. The record names its owner; appends
 * and claims take effect only if the record is unchanged. Answers and requests
 * are lost, and claims take effect late. A host freezes and is taken over, and
 * a host is killed and starts again under a new name.
 *
 * Checked: a reader never gets fewer results than some reader got before,
 * except while an append is on its way; and when nothing can happen any more,
 * the step is complete or ended.
 *
 * Switches: NO_STORE_READ (a stopped copy, or one whose append has an unknown
 * outcome, answers from memory), NO_ADOPTION (a stopped copy counts as
 * running), KEEP_OLD_COPY (so does one from before another owner, that has not
 * noticed it), NO_CLAIM_SETTLED (a claim without an answer is forgotten),
 * NO_LOG_CHECK (the host of an ended step does not compare its copy with the log),
 * NO_COMPARE (appends do not depend on the record).
 */

#define N 2
#define HOSTS 2
#define NAMES 4 /* a host has another name after a restart */

#define NOTHING 0
#define RUNNING 1
#define STOPPED 2

#define SETTLED 0
#define SENT 1
#define UNKNOWN 2

/* The store. */
byte owner = 0;
byte revision = 1;
bool ended = false;
byte logged = 0; /* entries in the log */
byte writer[N]; /* the name that appended an entry */

/* Each host. */
byte name[HOSTS]; /* host, or host + HOSTS after a restart */
byte copy[HOSTS];
byte listed[HOSTS]; /* entries that the copy knows */
byte append[HOSTS];
byte copyRevision[HOSTS];
byte copies[HOSTS]; /* number of copies so far: an answer belongs to one */
bool superseded[HOSTS];
bool frozen[HOSTS];
bool claimUnknown[HOSTS];
byte claimRevision[HOSTS];

/* A claim that takes effect late. */
bool lateClaim = false;
byte lateName;
byte lateRevision;

byte seen = 0; /* the most entries that a reader got */
byte losses = 1;
byte freezes = 1;
byte kills = 1;
byte reads = 2;

#define LIVE(n) ((n == name[0] && !frozen[0]) || (n == name[1] && !frozen[1]))
#define INCOMPLETE (!ended && logged < N)

inline adopt(i)
{
  copies[i]++;
  copy[i] = RUNNING;
  listed[i] = logged;
  append[i] = SETTLED;
  superseded[i] = false;
  copyRevision[i] = revision;
}

/* The owner runs the step that the record gives it. */
inline takeOwnStep(i)
{
#ifdef NO_ADOPTION
  if
  :: copy[i] == NOTHING -> adopt(i)
  :: else
  fi
#else
  if
#ifdef KEEP_OLD_COPY
  :: copy[i] != RUNNING -> adopt(i)
#else
  :: copy[i] != RUNNING || copyRevision[i] != revision -> adopt(i)
#endif
  :: else
  fi
#endif
}

inline applyClaim(n, expected, won)
{
  won = false;
  if
  :: revision == expected && !ended ->
     owner = n;
     revision++;
     won = true
  :: else
  fi
}

/* Appends an entry after the first ones; it may be there from an attempt before. */
inline applyAppend(writerName, expected, at, done)
{
  done = false;
  if
#ifdef NO_COMPARE
  :: logged == at ->
#else
  :: revision == expected && logged == at ->
#endif
     writer[logged] = writerName;
     logged++;
     done = true
#ifdef NO_COMPARE
  :: logged > at && writer[at] == writerName ->
#else
  :: revision == expected && logged > at ->
#endif
     done = true
  :: else
  fi
}

/* The appends of a host. Its step may stop, or the host be killed, while one
   is on its way. */
proctype Appends(byte i)
{
  byte sender, expected, at, copyNumber;
  bool done;
end:
  do
  :: atomic {
       !frozen[i] && copy[i] == RUNNING && listed[i] < N ->
       append[i] = (append[i] == UNKNOWN -> UNKNOWN : SENT);
       sender = name[i];
       expected = copyRevision[i];
       at = listed[i];
       copyNumber = copies[i]
     };
     if
     :: atomic {
          applyAppend(sender, expected, at, done);
          if
          :: copyNumber != copies[i]
          :: copyNumber == copies[i] && done ->
             listed[i]++;
             append[i] = SETTLED
          :: copyNumber == copies[i] && !done ->
             copy[i] = STOPPED;
             superseded[i] = true;
             append[i] = SETTLED
          fi
        }
     /* The answer is lost, or the request. */
     :: atomic {
          losses > 0 ->
          losses--;
          if
          :: applyAppend(sender, expected, at, done)
          :: skip
          fi;
          if
          :: copyNumber == copies[i] -> append[i] = UNKNOWN
          :: else
          fi
        }
     fi
  od
}

proctype Host(byte i)
{
  bool done;
end:
  do
  /* A copy stops when the record shows an end or another owner. Then its host
     reads how far the log is: another host may have owned the step meanwhile. */
  :: atomic {
       !frozen[i] && copy[i] == RUNNING && (ended || owner != name[i]) ->
       copy[i] = STOPPED;
#ifdef NO_LOG_CHECK
       superseded[i] = (owner != name[i])
#else
       superseded[i] = (owner != name[i] || logged > listed[i])
#endif
     }
  /* A claim to a step whose owner is gone. */
  :: atomic {
       !frozen[i] && INCOMPLETE && !LIVE(owner) && !claimUnknown[i] ->
       if
       :: applyClaim(name[i], revision, done);
          if
          :: done -> takeOwnStep(i)
          :: else
          fi
       :: losses > 0 ->
          losses--;
          claimUnknown[i] = true;
          claimRevision[i] = revision;
          if
          :: applyClaim(name[i], revision, done)
          :: skip
          :: !lateClaim ->
             lateClaim = true;
             lateName = name[i];
             lateRevision = revision
          fi
#ifdef NO_CLAIM_SETTLED
          ;
          claimUnknown[i] = false
#endif
       fi
     }
  /* A claim without an answer is settled by a read: it has failed or taken
     effect once the record has changed, and it cannot take effect once it is
     no longer on its way. */
  :: atomic {
       !frozen[i] && claimUnknown[i] &&
       (revision != claimRevision[i] || !lateClaim) ->
       claimUnknown[i] = false;
       if
       :: owner == name[i] && INCOMPLETE -> takeOwnStep(i)
       :: else
       fi
     }
  :: atomic {
       freezes > 0 && !frozen[i] ->
       freezes--;
       frozen[i] = true
     }
  :: atomic { frozen[i] -> frozen[i] = false }
  :: atomic {
       kills > 0 && name[i] < HOSTS ->
       kills--;
       name[i] = name[i] + HOSTS;
       copies[i]++;
       copy[i] = NOTHING;
       listed[i] = 0;
       append[i] = SETTLED;
       superseded[i] = false;
       claimUnknown[i] = false;
       frozen[i] = false
     }
  od
}

proctype LateClaim()
{
  bool done;
end:
  do
  :: atomic {
       lateClaim ->
       if
       :: applyClaim(lateName, lateRevision, done)
       :: skip
       fi;
       lateClaim = false
     }
  od
}

/* Reads at a host: from the copy, or from the log at the store. */
proctype Reader()
{
  byte i, got;
end:
  do
  :: atomic {
       reads > 0 ->
       reads--;
       if
       :: i = 0
       :: i = 1
       fi;
       if
       :: !frozen[i] ->
          got = logged;
          if
#ifdef NO_STORE_READ
          :: copy[i] != NOTHING && !superseded[i] -> got = listed[i]
#else
          :: copy[i] != NOTHING && !superseded[i] && append[i] != UNKNOWN &&
             !(append[i] == SENT && copy[i] == STOPPED) -> got = listed[i]
#endif
          :: else
          fi;
          /* While an append is on its way, its entry may be listed elsewhere
             first; its answer is due within the time to settle. A copy that
             has not noticed a change of the record is not in touch yet. */
          assert(got >= seen || (copy[i] == RUNNING && append[i] == SENT) ||
                 (copy[i] == RUNNING && copyRevision[i] != revision));
          if
          :: got > seen -> seen = got
          :: else
          fi
       :: else
       fi
     }
  od
}

proctype Trainer()
{
  /* Ends the step once it has got a result, or never. */
  if
  :: atomic { seen > 0 && !ended -> ended = true; revision++ }
  :: skip
  fi
}

proctype Monitor()
{
  timeout ->
  assert(!INCOMPLETE)
}

init
{
  atomic {
    name[0] = 0;
    name[1] = 1;
    adopt(0);
    run Host(0);
    run Host(1);
    run Appends(0);
    run Appends(1);
    run LateClaim();
    run Reader();
    run Trainer();
    run Monitor()
  }
}
