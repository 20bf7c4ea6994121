/* Configuration writes. Two operators change the same object, each at the
 * version it read, and one may repeat its call with the same change id. Others
 * change this object and another one. The answer to a transaction may be lost,
 * and such a transaction may take effect late. */

#define WRITERS 2
#define MAXV 6
#define ATTEMPTS 2
#define OTHERS 9

byte head = 1;
byte objectVersion = 1;
byte log[MAXV];              /* change id (writer + 1) of each version */
byte stored[WRITERS];        /* how often a writer's change was stored */
byte late[WRITERS];          /* head that a delayed transaction compares, or 0 */
byte lateObject[WRITERS];

inline Commit(id, compared, object)
{
  /* Each version is written once, so the log has neither gaps nor overwrites. */
  assert(log[compared + 1] == 0);
  head = compared + 1;
  log[head] = id + 1;
  objectVersion = head;
  stored[id]++;
  /* A repeated change is stored only once. */
  assert(stored[id] <= 1);
  /* No update is lost: each change replaces the version that its writer read. */
  assert(object == 1)
}

inline Search(after)
{
  v = after + 1;
  found = false;
  do
  :: v <= head && log[v] == me + 1 -> found = true; break
  :: v <= head && log[v] != me + 1 -> v++
  :: v > head -> break
  od;
  v = 0
}

#ifdef NO_HEAD_COMPARE
#define HEAD_IS(h) (h < MAXV - 1)
#else
#define HEAD_IS(h) (head == (h) && head < MAXV - 1)
#endif

active [WRITERS] proctype Writer()
{
  byte me = _pid;
  byte h, attempt, since, v, object;
  bool found;
  byte calls;
again:
  do
  :: attempt < ATTEMPTS ->
     attempt++;
     if
     :: h = head
     :: goto unresolved                              /* the store is down */
     fi;
     atomic {
       found = false;
#ifndef NO_READ_BACK
       if
       :: since != 0 -> Search(since)
       :: else
       fi;
#endif
       if
       :: found -> found = false; goto accepted
       :: else
       fi
     };
     object = objectVersion;
#ifndef NO_EXPECTED_VERSION
     if
     :: object != 1 ->
#if !defined(NO_CONFLICT_SEARCH) && !defined(NO_READ_BACK)
        /* An earlier call with this change id may have stored the change, which
         * was then replaced. */
        atomic {
          Search(1);
          if
          :: found -> found = false; goto accepted
          :: else
          fi
        };
#endif
        goto conflict
     :: else
     fi;
#endif
     atomic {
       if
       :: HEAD_IS(h) && objectVersion == object ->
          Commit(me, h, object);
          if :: goto accepted :: since = (since == 0 -> h : since) fi
       :: !(HEAD_IS(h) && objectVersion == object) ->
          if :: skip :: since = (since == 0 -> h : since) fi
       :: late[me] == 0 -> late[me] = h; lateObject[me] = object;
          since = (since == 0 -> h : since)          /* still in flight */
       :: skip                                       /* not sent */
       fi
     }
  :: attempt == ATTEMPTS -> goto unresolved
  od;
conflict:
  /* "Conflict" means that the change was not stored and never will be. */
  atomic { assert(stored[me] == 0 && !(late[me] != 0 && HEAD_IS(late[me]) && objectVersion == lateObject[me])) };
  goto done;
accepted:
  assert(stored[me] == 1);
  goto done;
unresolved:
  /* The operator repeats the call. */
  if
  :: me == 0 && calls == 0 -> calls++; attempt = 0; since = 0; goto again
  :: skip
  fi;
done:
  skip
}

active proctype Environment()
{
  do
  :: atomic { late[0] != 0 -> if :: HEAD_IS(late[0]) && objectVersion == lateObject[0] -> Commit(0, late[0], lateObject[0]) :: else fi; late[0] = 0 }
  :: atomic { late[1] != 0 -> if :: HEAD_IS(late[1]) && objectVersion == lateObject[1] -> Commit(1, late[1], lateObject[1]) :: else fi; late[1] = 0 }
  :: atomic { head < 3 -> head++; log[head] = OTHERS }
  :: atomic { head < 4 && objectVersion != 1 -> head++; log[head] = OTHERS; objectVersion = head }
  :: timeout -> break
  od
}
