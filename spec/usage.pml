/* Usage windows (G8). Two daemons can report one window; their counts differ
 * because copies lag. The holder of the usage lease seals the window by
 * create-if-absent and reports the sealed figure until an answer arrives. */

#define NONE 2

byte holder = NONE;          /* the store's view */
bool believes[2];            /* local validity; ends before the store's */
byte counts[2] = 1;
byte sealed;                 /* 0: not sealed */
byte reported;               /* figure the sink has, 0: none */
byte resends[2];

inline Report(figure)
{
  /* Only one process that believes it is in charge reports. */
  assert(believes[me] && !believes[1 - me]);
  assert(reported == 0 || reported == figure);
  reported = figure;
  /* A figure that the sink has is the sealed one. */
  assert(sealed == figure)
}

active [2] proctype Daemon()
{
  byte me = _pid;
  byte figure;
  bool done;
  do
#ifdef NO_LEASE
  :: atomic { !believes[me] && resends[me] < 3 -> holder = me; believes[me] = true }
#else
  :: atomic { !believes[me] && holder == NONE && resends[me] < 3 -> holder = me; believes[me] = true }
#endif
  :: believes[me] && !done && resends[me] < 3 ->
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
        /* Pause, then create if absent; the answer may be lost. */
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
       :: figure != 0 && believes[me] ->
#endif
          Report(figure);
          resends[me]++;
          if :: done = true :: skip fi                        /* lost answer */
       :: else
       fi
     };
again:
     skip
  :: resends[me] >= 3 || done -> break
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
       :: believes[i] -> believes[i] = false                  /* lapse */
       :: holder == i && !believes[i] -> holder = NONE        /* store expiry */
       :: counts[i] < 3 -> counts[i]++                        /* a copy arrives */
       :: else
       fi;
       i = 0 }
  od
}
