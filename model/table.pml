/*
 * The table. Two editors change fields of one document by compare-and-set
 * through daemons; the second changes the first's field afterwards. Replies
 * are lost, reads are stale, and an editor repeats an edit until it knows what
 * became of it. A daemon that obeys the table reads it as well, and restarts.
 *
 * Holds: a write changes its own field only, and each edit is applied once, so
 * that no accepted edit is lost or comes back over a later one; the version
 * in force at a daemon never falls while it runs.
 *
 * Guards:
 *  CAS       the head changes only if its version is the one read
 *  SETTLE    after a lost reply the history is asked for the edit's id
 *  MONOTONE  a daemon ignores an older version than it has in force
 */
#define EDITS 3
#define MAX 6

/* History: content of fields a and b, and the edit's id, by version. */
byte a[MAX + 1];
byte b[MAX + 1];
byte by[MAX + 1];
byte head = 0;
byte applied[EDITS + 1];

/* A read may be answered with any version that once was the newest, but no
 * older than what this client was told before. */
inline read(v, floor)
{
	atomic {
		v = floor;
		do
		:: v < head -> v++
		:: break
		od
	}
}

/* The edit of that id sets field a (1 and 3) or b (2). */
inline write(base, id)
{
	atomic {
		if
#ifdef NO_GUARD_CAS
		:: head < MAX ->
#else
		:: head == base && head < MAX ->
#endif
			a[head + 1] = (id == 2 -> a[base] : id);
			b[head + 1] = (id == 2 -> id : b[base]);
			by[head + 1] = id;
			assert(id == 2 || b[head + 1] == b[head]);
			assert(id != 2 || a[head + 1] == a[head]);
			head++;
			applied[id]++;
			assert(applied[id] == 1);
			committed = true
		:: else -> committed = false
		fi;
		if
		:: lost = true
		:: lost = false
		fi
	}
}

proctype edit(byte id)
{
	byte base, i;
	bool committed, lost, found;

	base = 0;
	do
	:: read(base, base);
#ifndef NO_GUARD_SETTLE
	   /* The history is written with the head, so that who has read a
	    * head can read the history up to it. */
	   atomic {
		found = false;
		i = 1;
		do
		:: i <= base -> found = found || by[i] == id; i++
		:: else -> break
		od
	   };
	   if
	   :: found -> break
	   :: else
	   fi;
#endif
	   write(base, id);
	   if
	   :: !lost && committed -> break
	   :: lost || !committed	/* try again */
	   :: lost || !committed -> break	/* the operator gives up */
	   fi
	od
}

proctype obey()
{
	byte inForce = 0;
	byte v;
	byte n = 0;

	do
	:: n < 3 ->
	   n++;
	   atomic {		/* stale at will */
		v = 0;
		do
		:: v < head -> v++
		:: break
		od
	   };
#ifndef NO_GUARD_MONOTONE
	   if
	   :: v < inForce -> v = inForce
	   :: else
	   fi;
#endif
	   assert(v >= inForce);
	   inForce = v
	:: n < 3 ->
	   n++;
	   inForce = 0		/* a restart: another incarnation */
	:: n >= 3 -> break
	od
}

init {
	atomic {
		run edit(1);
		run edit(2);
		run edit(3);
		run obey()
	}
}
