/*
 * The history of the versions at which a pool's streams may have begun. Engines of
 * two versions register and leave in any order. Daemons read the registrations, and
 * write a version's record before they take it over. All daemons may be restarted at
 * once, and know nothing then. A caller whose stream no daemon remembers takes it up
 * at any daemon.
 *
 * Holds: a stream only goes on at the version that began it.
 *
 * Guards:
 *  HISTORY   the daemon asks the history; its own list shows only what it has seen
 *  FIRST     the record precedes the first stream at its version
 *  AFTER     the history is read after the caller has asked
 */
#define VERSIONS 2
#define STEPS 2
#define TAKEUPS 1

bool registered[VERSIONS];
bool recorded[VERSIONS];
byte recording = 0;		/* daemons that have written a record and not yet used it */
bool known[4];			/* by daemon and version */
byte began = 0;			/* version whose engine sent the first event, plus one */
bool seen[VERSIONS];		/* a history that was read at any time before */

proctype engines(byte v)
{
	registered[v] = true;
	if
	:: registered[v] = false
	:: skip
	fi
}

/* A record is removed long after its version has left. */
proctype expire(byte v)
{
	if
	:: atomic {
		!registered[v] && !known[v] && !known[VERSIONS + v] && recording == 0 && began != v + 1 ->
		recorded[v] = false
	   }
	:: skip
	fi
}

proctype daemon(byte d)
{
	byte n = 0;
	byte v;

	do
	:: n < STEPS ->
		n++;
		if
		:: v = 0
		:: v = 1
		fi;
		if
		:: registered[v] ->
#ifdef NO_GUARD_FIRST
			known[d * VERSIONS + v] = true;
			recorded[v] = true
#else
			if
			:: atomic { recorded[v] = true; recording++ }
				atomic { known[d * VERSIONS + v] = true; recording-- }
			:: skip		/* the store does not take the record */
			fi
#endif
		:: !registered[v] -> known[d * VERSIONS + v] = false
		fi
	:: break
	od
}

/* A stream begins at a version that some daemon knows. */
proctype serve()
{
	if
	:: atomic { known[0] || known[VERSIONS] -> began = 1 }
	:: atomic { known[1] || known[VERSIONS + 1] -> began = 2 }
	:: skip
	fi
}

proctype restartAll()
{
	atomic {
		known[0] = false; known[1] = false; known[2] = false; known[3] = false
	}
}

proctype takeUp()
{
	byte n = 0;
	byte d;
	bool first, second;

	atomic { seen[0] = recorded[0]; seen[1] = recorded[1] }
	do
	:: n < TAKEUPS && began != 0 ->
		n++;
		if
		:: d = 0
		:: d = VERSIONS
		fi;
		atomic {
#ifdef NO_GUARD_HISTORY
			first = known[d];
			second = known[d + 1]
#else
#ifdef NO_GUARD_AFTER
			first = known[d] || seen[0];
			second = known[d + 1] || seen[1]
#else
			first = known[d] || recorded[0];
			second = known[d + 1] || recorded[1]
#endif
#endif
		}
		if
		:: first && !second -> assert(began == 1)
		:: second && !first -> assert(began == 2)
		:: else -> skip		/* refused */
		fi
	:: break
	od
}

init {
	atomic {
		run engines(0);
		run engines(1);
		run expire(0);
		run expire(1);
		run daemon(0);
		run daemon(1);
		run serve();
		run restartAll();
		run takeUp()
	}
}
