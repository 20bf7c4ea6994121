/* At-most-once admission (guarantees G10 and G11). A caller sends one
 * non-idempotent request and sends it again through other daemons while the
 * first attempt still runs. The store creates a record if there is none. A
 * create may take effect late, after its daemon stopped waiting for the answer.
 * Daemons may crash between any two steps. */

#define ATTEMPTS 3
#define NONE 255

byte record = NONE;          /* nonce (attempt number) of the stored record */
byte runs;
bool notRun[ATTEMPTS];
bool ran[ATTEMPTS];
bool lateCreate[ATTEMPTS];   /* sent; may still take effect */

inline Dispatch(me)
{
  atomic {
    runs++;
    ran[me] = true;
    assert(runs <= 1);
    assert(!notRun[me])
  }
}

active [ATTEMPTS] proctype Attempt()
{
  byte me = _pid;
  byte answer;               /* 0 error, 1 created, 2 exists, 3 lost */
  byte owner = NONE;
#ifdef NO_RECORD
  goto admitted;
#endif
  atomic {
    if
    :: answer = 0                                    /* nothing was sent */
    :: record == NONE -> record = me; answer = 1
    :: record == NONE -> record = me; answer = 3
    :: record != NONE -> answer = 2; owner = record
    :: record != NONE -> answer = 3
    :: lateCreate[me] = true; answer = 3
#ifdef NO_COMPARE
    :: record = me; answer = 1
#endif
    fi
  };
  if
  :: answer == 0 -> goto refuse
  :: answer == 1 -> goto admitted
  :: answer == 2 -> goto duplicate
#ifdef ASSUME_CREATED
  :: answer == 3 -> goto admitted
#else
  :: answer == 3 -> skip
#endif
  fi;
  /* Read the record back; its nonce tells whose it is. */
  atomic {
    if
    :: goto refuse                                   /* the read failed too */
    :: record == NONE -> goto refuse
#ifdef NO_NONCE
    :: record != NONE -> goto admitted
#else
    :: record == me -> goto admitted
    :: record != me && record != NONE -> goto duplicate
#endif
    fi
  };
admitted:
  if
  :: goto done                                       /* daemon crashes */
  :: goto refuse                                     /* refused before sending */
  :: skip
  fi;
  Dispatch(me);
  if
  :: goto done                                       /* answered or crashed */
  :: goto unknown                                    /* upstream timeout */
  fi;
duplicate:
  /* Ask the daemon that owns the record; if it is gone, the outcome is
   * unknown. */
#ifdef RUN_WHEN_OWNER_GONE
  Dispatch(me);
#endif
  goto done;
unknown:
#ifdef NOT_RUN_AFTER_SEND
  goto refuse;
#endif
  goto done;
refuse:
  /* An attempt that answered "not run" never dispatches. */
  atomic { notRun[me] = true; assert(!ran[me]) };
#ifdef RETRY_AFTER_REFUSAL
  if
  :: record == me -> Dispatch(me)
  :: else
  fi;
#endif
done:
  skip
}

active proctype LateCreates()
{
  do
  :: atomic { lateCreate[0] -> lateCreate[0] = false; if :: record == NONE -> record = 0 :: else fi }
  :: atomic { lateCreate[1] -> lateCreate[1] = false; if :: record == NONE -> record = 1 :: else fi }
  :: atomic { lateCreate[2] -> lateCreate[2] = false; if :: record == NONE -> record = 2 :: else fi }
  :: timeout -> break
  od
}
