/* Usage windows (guarantee G8). Two daemons can report a window; their counts
 * differ because copies arrive with a delay. The holder of the usage lease seals
 * the window with a create-if-absent and reports the sealed figure until it gets
 * an answer. */

#define NONE 2

byte holder = NONE;          /* lease holder according to the store */
bool held[2];            /* lease valid locally; ends before it does in the store */
byte counts[2] = 1;
byte sealed;                 /* 0: not sealed */
byte reported;               /* figure that the receiver has; 0: none */
byte sendCount[2];

inline Report(figure)
{
  /* A daemon reports only while it alone holds the lease locally. */
  assert(held[me] && !held[1 - me]);
  assert(reported == 0 || reported == figure);
  reported = figure;
  /* The receiver only gets the sealed figure. */
  assert(sealed == figure)
}

active [2] proctype Daemon()
{
  byte me = _pid;
  byte figure;
  bool done;
  do
#ifdef NO_LEASE
  :: atomic { !held[me] && sendCount[me] < 3 -> holder = me; held[me] = true }
#else
  :: atomic { !held[me] && holder == NONE && sendCount[me] < 3 -> holder = me; held[me] = true }
#endif
  :: held[me] && !done && sendCount[me] < 3 ->
     figure = 0;
     /* Read the seal. */
     if
     :: figure = sealed
     :: goto again                                            /* outage */
     fi;
     if
     :: figure == 0 ->
#ifdef NO_SEAL
        figure = counts[me]; sealed = figure
#else
        /* Create the seal if absent, after any delay; the answer may be lost. */
        atomic {
          if
#ifdef NO_COMPARE
          :: true ->
#else
          :: sealed == 0 ->
#endif
             sealed = counts[me];
             if :: figure = sealed :: figure = 0 fi           /* lost answer */
          :: sealed != 0 -> figure = sealed
#ifdef ASSUME_SEALED
          :: figure = counts[me]
#endif
          :: figure = 0                                       /* outage */
          fi
        }
#endif
     :: else
     fi;
#ifdef RECOUNT_ON_RESEND
     figure = counts[me];
#endif
     atomic {
       if
#ifdef NO_CHECK
       :: figure != 0 ->
#else
       :: figure != 0 && held[me] ->
#endif
          Report(figure);
          sendCount[me]++;
          if :: done = true :: skip fi                        /* lost answer */
       :: else
       fi
     };
again:
     skip
  :: sendCount[me] >= 3 || done -> break
  od;
  skip
}

active proctype Environment()
{
  byte i;
  do
  :: atomic {
       if :: i = 0 :: i = 1 fi;
       if
       :: held[i] -> held[i] = false                  /* local expiry */
       :: holder == i && !held[i] -> holder = NONE        /* expiry in the store */
       :: counts[i] < 3 -> counts[i]++                        /* a copy arrives */
       :: else
       fi;
       i = 0 }
  od
}
