/*
 * How daemons learn of the rows of the store. One endpoint registers, leaves
 * and registers again, a second one registers in between. At any moment the
 * store may come back from a copy of its first state, in a new era, and give
 * version 2 out again, in which the endpoint leaves. Any daemon may read the
 * store's feed from its position, read the whole list, tell the others how
 * far its facts reach, ask another for what it lacks, and start anew. Messages
 * between daemons may come late or never.
 *
 * Holds: what a daemon knows of the endpoint is what the store held at the
 * moment for which the daemon takes its facts to be the newest, or later.
 *
 * Guards:
 *  TOLD   a daemon takes another's word only if it has all that was told
 *  BASE   a row that is no newer than the last whole list is not taken in
 *  WHOLE  a daemon that has read a whole list tells its whole list to those
 *         that stood before it
 *  ERA    positions of a later era are greater, and a feed of another era is
 *         read whole
 */
#define DAEMONS 3
#define LAST 4
#define COPY 5
#define END 6

/* The state of the store: 1 the endpoint registers, 2 it leaves, 3 another one
 * registers, 4 it registers again; 5 the copy of 1, 6 the endpoint leaves. */
byte version = 1;
byte rowNow = 1;		/* the version of the endpoint's row */

/* What a state counts as where states are compared: with eras states 5 and 6
 * are later than all others, without them they are versions 1 and 2 again. */
#ifdef NO_GUARD_ERA
#define rank(v) ((v) >= COPY -> (v) - COPY + 1 : (v))
#define sameEra(a, b) true
#else
#define rank(v) v
#define sameEra(a, b) (((a) >= COPY) == ((b) >= COPY))
#endif

byte position[DAEMONS];
byte base[DAEMONS];
byte asOf[DAEMONS];		/* the store's version as of which facts are newest */
byte row[DAEMONS];		/* version of the endpoint's row; 0 is unknown */
bool gone[DAEMONS];
bool other[DAEMONS];		/* knows the row of the other endpoint */

#define liveAt(v) ((v) == 1 || (v) == 4 || (v) == COPY)
#define otherAt(v) ((v) == 3 || (v) == 4)
#define max(a, b) (rank(a) > rank(b) -> (a) : (b))
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
		(asOf[d] <= 4 && version >= 4 && knows(d) == liveAt(4)) ||
		(asOf[d] <= COPY && version >= COPY && knows(d) == liveAt(COPY)) ||
		(asOf[d] <= END && version >= END && knows(d) == liveAt(END))))
}

inline put(d, r, g)
{
	if
	:: rank(r) > rank(row[d]) -> row[d] = r; gone[d] = g
	:: else
	fi
}

inline feed(d)
{
	put(d, rowNow, !liveAt(version));
	other[d] = other[d] || otherAt(version);
	position[d] = max(position[d], version);
	asOf[d] = version
}

/* d reads the whole list. */
inline readList(d)
{
	if
	:: sameEra(position[d], version) -> other[d] = other[d] || otherAt(version)
	:: else -> other[d] = otherAt(version)
	fi;
	list(d, version, liveAt(version), rowNow);
	asOf[d] = version
}

/* d takes in a whole list at a position, with the endpoint's row or without. */
inline list(d, at, listed, r)
{
	if
	:: listed -> put(d, r, false)
	:: !listed && knows(d) && rank(row[d]) <= rank(at) -> row[d] = at; gone[d] = true
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
	:: position[s] > 0 && position[d] == 0 && rank(position[s]) >= rank(position[d]) ->
#else
	:: position[s] > 0 && (position[d] == 0 || rank(position[d]) < rank(base[s])) && rank(position[s]) >= rank(position[d]) ->
#endif
		if
		:: sameEra(position[d], position[s]) -> other[d] = other[d] || other[s]
		:: else -> other[d] = other[s]
		fi;
		list(d, position[s], knows(s), row[s]);
		asOf[d] = max(asOf[d], asOf[s])
	:: position[s] > 0 && rank(position[s]) < rank(position[d]) ->
		/* An older list or older changes: rows only. */
		if
#ifdef NO_GUARD_BASE
		:: row[s] != 0 -> put(d, row[s], gone[s])
#else
		:: row[s] != 0 && rank(row[s]) > rank(base[d]) -> put(d, row[s], gone[s])
#endif
		:: else
		fi
	:: else ->
		if
		:: rank(row[s]) > rank(position[d]) && rank(row[s]) > rank(base[d]) -> put(d, row[s], gone[s])
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
	:: position[d] != 0 && rank(t) <= rank(position[d]) ->
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
	:: atomic { version < LAST -> version++; if :: version != 3 -> rowNow = version :: else fi }
	:: atomic { version <= LAST -> version = COPY; rowNow = COPY }
	:: atomic { version == COPY -> version = END; rowNow = END }
	:: atomic {
		select (d : 0 .. DAEMONS - 1);
		if
		:: position[d] != 0 && sameEra(position[d], version) -> feed(d)
		:: readList(d)
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
