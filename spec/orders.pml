/* Upstream orders under a lease (guarantee G7). Two daemons compete for the
 * lease; time is discrete. Each store call may fail without effect (outage),
 * take effect and lose its answer, or succeed. The lease holder's clock may lag
 * by DRIFT. With HONOURS the upstream refuses fencing tokens older than the
 * newest it has seen, and an order may be delayed without limit between check
 * and effect. Otherwise the upstream ignores fencing tokens, and an order takes
 * effect at most FLIGHT after the check that allowed it. */

#define TTL 2
#define DRIFT 1
#ifndef FLIGHT
#define FLIGHT 1
#endif
#ifndef END
#define END 5
#endif
#define NONE 2

#ifdef NO_DRIFT_MARGIN
#define MARGIN 0
#else
#define MARGIN DRIFT
#endif

byte now;
byte holder = NONE;          /* lease holder according to the store */
byte storeExpiry;
byte revision;
byte token[2];             /* 0: not held */
byte localExpiry[2];
byte heldSince[2];
byte inFlight[2];            /* fencing token of an order in flight */
byte inFlightUntil[2];
byte newestToken;
byte newestSender;

#ifdef NO_WAIT
#define WAITED(i) true
#else
#define WAITED(i) (now >= heldSince[i] + FLIGHT)
#endif
#ifdef HONOURS
#define MAY_SEND(i, clock) (token[i] != 0 && (clock) < localExpiry[i])
#define IN_TIME(i) true
#else
#define MAY_SEND(i, clock) (token[i] != 0 && (clock) < localExpiry[i] && WAITED(i))
#define IN_TIME(i) (now <= inFlightUntil[i])
#endif

active proctype Time()
{
  do
  :: atomic { now < END -> now++;
       if
       :: holder != NONE && now >= storeExpiry -> holder = NONE; storeExpiry = 0
       :: else
       fi;
       if /* Clear waits that are over. */
       :: heldSince[0] != 0 && now >= heldSince[0] + FLIGHT -> heldSince[0] = 0
       :: else
       fi;
       if
       :: heldSince[1] != 0 && now >= heldSince[1] + FLIGHT -> heldSince[1] = 0
       :: else
       fi;
       if
       :: inFlight[0] != 0 && !IN_TIME(0) -> inFlight[0] = 0; inFlightUntil[0] = 0
       :: else
       fi;
       if
       :: inFlight[1] != 0 && !IN_TIME(1) -> inFlight[1] = 0; inFlightUntil[1] = 0
       :: else
       fi }
  :: now == END -> break
  od
}

active [2] proctype Daemon()
{
  byte me = _pid - 1;
  byte sent, lag;
  bool won;
  do
  :: atomic { token[me] == 0 -> sent = now; won = false };
     /* create the lease key if absent */
     atomic {
       if
       :: skip                           /* outage: no effect, no answer */
#ifdef NO_COMPARE
       :: true ->
#else
       :: holder == NONE ->
#endif
          holder = me; revision++; storeExpiry = sent + TTL; won = true
#ifdef ASSUME_WON
       :: holder != NONE -> won = true   /* treats a lost answer as success */
#endif
       fi
     };
     /* the answer, the read-back of a lost one, or neither */
     atomic {
       if
       :: won ->
          token[me] = revision;
#ifdef EXPIRY_FROM_ANSWER
          localExpiry[me] = now + TTL - MARGIN;
#else
          localExpiry[me] = sent + TTL - MARGIN;
#endif
#ifndef HONOURS
          heldSince[me] = now
#else
          skip
#endif
       :: skip
       fi; won = false; sent = 0
     }
  :: atomic { token[me] != 0 -> sent = now; won = false };
     atomic {
       if
       :: skip
       :: holder == me -> storeExpiry = now + TTL; won = true
       :: holder != me -> token[me] = 0; localExpiry[me] = 0; heldSince[me] = 0
       fi
     };
     atomic {
       if
       :: won && token[me] != 0 ->
#ifdef EXPIRY_FROM_ANSWER
          localExpiry[me] = now + TTL - MARGIN
#else
          localExpiry[me] = sent + TTL - MARGIN
#endif
       :: skip                           /* the answer to a renewal is lost */
       fi; won = false; sent = 0
     }
  :: atomic { token[me] != 0 && now >= localExpiry[me] + DRIFT ->
       token[me] = 0; localExpiry[me] = 0; heldSince[me] = 0 }
  :: atomic { inFlight[me] == 0 && token[me] != 0 ->
       if :: lag = 0 :: now >= DRIFT -> lag = DRIFT fi;
       if
#ifdef NO_CHECK
       :: WAITED(me) ->
#else
       :: MAY_SEND(me, now - lag) ->
#endif
          inFlight[me] = token[me];
#ifndef HONOURS
          inFlightUntil[me] = now + FLIGHT
#else
          skip
#endif
       :: else
       fi; lag = 0 }
  :: atomic { inFlight[me] != 0 && IN_TIME(me) ->
       if
#ifdef HONOURS
#ifndef NO_FENCING
       :: inFlight[me] < newestToken -> skip   /* refused: old fencing token */
#endif
#endif
       :: else ->
          /* Orders of two lease holders never interleave at the upstream. */
          assert(inFlight[me] > newestToken ||
                 (inFlight[me] == newestToken && newestSender == me));
          newestToken = inFlight[me]; newestSender = me
       fi;
       inFlight[me] = 0; inFlightUntil[me] = 0 }
  :: now == END -> break
  od
}
