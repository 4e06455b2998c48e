/*
 * How daemons learn of the rows of the store. One endpoint registers, leaves
 * and registers again, a second one registers in between. Any daemon may read
 * the store's feed from its position, read the whole list, tell the others how
 * far its facts reach, ask another for what it lacks, and start anew. Messages
 * between daemons may come late or never.
 *
 * Holds: what a daemon knows of the endpoint is what the store held at the
 * moment for which the daemon takes its facts to be the newest, or later.
 *
 * Guards:
 *  TOLD   a daemon takes another's word only if it has all that was told
 *  BASE   a row that is unknown and no newer than the last whole list is not
 *         taken in
 *  WHOLE  a daemon that has read a whole list tells its whole list to those
 *         that stood before it
 */
#define DAEMONS 3
#define LAST 4

/* The version of the store: 1 the endpoint registers, 2 it leaves, 3 another
 * one registers, 4 it registers again. */
byte version = 1;

byte position[DAEMONS];
byte base[DAEMONS];
byte asOf[DAEMONS];		/* the store's version as of which facts are newest */
byte row[DAEMONS];		/* version of the endpoint's row; 0 is unknown */
bool gone[DAEMONS];
bool other[DAEMONS];		/* knows the row of the other endpoint */

#define liveAt(v) ((v) == 1 || (v) == 4)
#define rowAt(v) ((v) == 1 -> 1 : ((v) == 4 -> 4 : 2))
#define max(a, b) ((a) > (b) -> (a) : (b))
#define changed(d) max(row[d], (other[d] -> 3 : 0))
#define told(d) max(changed(d), base[d])
#define knows(d) (row[d] != 0 && !gone[d])

/* A beacon: the sender, what it told of, its position and moment. */
chan beacons = [1] of { byte, byte, byte, byte };

inline check(d)
{
	assert(asOf[d] == 0 || (
		(asOf[d] <= 1 && version >= 1 && knows(d) == liveAt(1)) ||
		(asOf[d] <= 2 && version >= 2 && knows(d) == liveAt(2)) ||
		(asOf[d] <= 3 && version >= 3 && knows(d) == liveAt(3)) ||
		(asOf[d] <= 4 && version >= 4 && knows(d) == liveAt(4))))
}

inline put(d, r, g)
{
	if
	:: r > row[d] -> row[d] = r; gone[d] = g
	:: else
	fi
}

inline feed(d)
{
	put(d, rowAt(version), !liveAt(version));
	other[d] = other[d] || version >= 3;
	position[d] = version;
	asOf[d] = version
}

/* d takes in a whole list at a position, with the endpoint's row or without. */
inline list(d, at, listed, r)
{
	if
	:: listed -> put(d, r, false)
	:: !listed && knows(d) && row[d] <= at -> row[d] = at; gone[d] = true
	:: else
	fi;
	base[d] = max(base[d], at);
	position[d] = max(position[d], at)
}

/* d asks s, which may stand before d. */
inline ask(d, s)
{
	if
	:: position[s] == 0
#ifdef NO_GUARD_WHOLE
	:: position[s] > 0 && position[d] == 0 && position[s] >= position[d] ->
#else
	:: position[s] > 0 && (position[d] == 0 || position[d] < base[s]) && position[s] >= position[d] ->
#endif
		list(d, position[s], knows(s), row[s]);
		other[d] = other[d] || other[s];
		asOf[d] = max(asOf[d], asOf[s])
	:: position[s] > 0 && position[s] < position[d] ->
		/* An older list or older changes: rows only. */
		if
#ifdef NO_GUARD_BASE
		:: row[s] != 0 -> put(d, row[s], gone[s])
#else
		:: row[s] != 0 && (row[d] != 0 || row[s] > base[d]) -> put(d, row[s], gone[s])
#endif
		:: else
		fi
	:: else ->
		if
		:: row[s] > position[d] && (row[d] != 0 || row[s] > base[d]) -> put(d, row[s], gone[s])
		:: else
		fi;
		other[d] = other[d] || other[s];
		position[d] = max(position[d], position[s]);
		asOf[d] = max(asOf[d], asOf[s])
	fi
}

inline hear(d, t, p, a)
{
	if
#ifdef NO_GUARD_TOLD
	:: position[d] != 0 ->
#else
	:: position[d] != 0 && t <= position[d] ->
#endif
		position[d] = max(position[d], p);
		asOf[d] = max(asOf[d], a)
	:: else
	fi
}

active proctype site()
{
	byte d, s, t, p, a;

end:	do
	:: atomic { version < LAST -> version++ }
	:: atomic {
		select (d : 0 .. DAEMONS - 1);
		if
		:: position[d] != 0 -> feed(d)
		:: list(d, version, liveAt(version), rowAt(version)); other[d] = version >= 3; asOf[d] = version
		:: position[d] != 0 && nfull(beacons) -> beacons!d, told(d), position[d], asOf[d]
		:: nempty(beacons) -> beacons?s, t, p, a; if :: s != d -> hear(d, t, p, a) :: else fi
		:: nempty(beacons) -> beacons?s, t, p, a	/* lost */
		:: select (s : 0 .. DAEMONS - 1); if :: s != d -> ask(d, s) :: else fi
		:: position[d] = 0; base[d] = 0; asOf[d] = 0; row[d] = 0; gone[d] = false; other[d] = false
		fi;
		check(d);
		d = 0; s = 0; t = 0; p = 0; a = 0
	   }
	od
}
