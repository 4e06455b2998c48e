/*
 * A change of coordinator. One entry daemon reserves places for two requests
 * on an endpoint with one place. The first coordinator dies at any moment; the
 * entry daemon then turns to the second, and reports what it holds and what
 * still waits. A caller may go away at any moment.
 *
 * Holds: each request is granted once, or cancelled, and none is forgotten; no
 * place is lost; and the second coordinator, which the entry daemon has told
 * what it holds, gives no place twice. (Two coordinators that both live may:
 * that over-commitment is allowed and not part of this model.)
 *
 * Guards:
 *  HOLDINGS  the new coordinator is told of grants in use, before all else
 *  RESEND    reserves without an answer are sent to the new coordinator
 *  STALE     an answer over a link that was given up is ignored
 *  CROSSING  a cancel that crosses a grant gives the place back
 */
#define REQUESTS 2
#define PLACES 1

mtype = { idle, waiting, granted, ended }
mtype = { reserve, release, cancel, hold, complete }

mtype state[REQUESTS];
byte grants[REQUESTS];		/* how often each request was given a place */
byte inUse = 0;			/* places that the entry daemon really uses */
byte link = 0;			/* the coordinator that the entry daemon uses */
bool dead = false;		/* of the first coordinator */

chan toFirst = [8] of { mtype, byte };
chan toSecond = [8] of { mtype, byte };
chan fromFirst = [4] of { byte };
chan fromSecond = [4] of { byte };

inline tell(what, r)
{
	if
	:: link == 0 -> if :: !dead -> toFirst!what(r) :: else fi
	:: else -> toSecond!what(r)
	fi
}

/* A grant for request r comes to the entry daemon. */
inline take(r)
{
	atomic {
		if
		:: state[r] == waiting ->
			state[r] = granted;
			grants[r]++;
			inUse++;
			assert(grants[r] == 1);
			assert(inUse <= PLACES)
		:: else
#ifdef NO_GUARD_STALE
			; grants[r]++;
			assert(grants[r] <= 1)
#endif
		fi
	}
}

/* What the second coordinator knows. */
byte running = 0;		/* places that it counts as used */
bool holds[REQUESTS];
bool queued[REQUESTS];

proctype entry()
{
	byte r = 0;
	bool reported = false;

	do
	:: r < REQUESTS -> atomic { state[r] = waiting; tell(reserve, r); r++ }
	:: else -> break
	od;
	do
	:: atomic { link == 0 && nempty(fromFirst) -> fromFirst?r; take(r) }
	:: atomic { nempty(fromSecond) -> fromSecond?r; take(r) }
#ifdef NO_GUARD_STALE
	:: atomic { link == 1 && nempty(fromFirst) -> fromFirst?r; take(r) }
#endif
	:: atomic { state[0] == granted -> state[0] = ended; inUse--; tell(release, 0) }
	:: atomic { state[1] == granted -> state[1] = ended; inUse--; tell(release, 1) }
	/* The first caller may go away while it waits. A grant that is under way
	 * is given back by the release that goes with the cancel. */
	:: atomic { state[0] == waiting -> state[0] = ended; tell(cancel, 0) }
	:: atomic { link == 0 && dead -> link = 1;
		toSecond!complete(2);	/* opens the link */
		r = 0;
		do
		:: r < REQUESTS ->
			if
#ifndef NO_GUARD_HOLDINGS
			:: state[r] == granted -> toSecond!hold(r)
#endif
#ifndef NO_GUARD_RESEND
			:: state[r] == waiting -> toSecond!reserve(r)
#endif
			:: else
			fi;
			r++
		:: else -> break
		od;
		toSecond!complete(0) }
	:: timeout ->
		/* Nothing more can happen. */
		assert(state[0] == ended && state[1] == ended);
		assert(inUse == 0);
		assert(link == 0 || running == 0);
		break
	od
}

proctype first()
{
	byte r;
	byte used = 0;
	bool has[REQUESTS];
	bool wants[REQUESTS];

	do
	:: atomic { !dead -> dead = true; break }
	:: atomic { toFirst?reserve(r) -> wants[r] = true }
	:: atomic { toFirst?release(r) -> if :: has[r] -> has[r] = false; used-- :: else fi }
	:: atomic { toFirst?cancel(r) -> wants[r] = false;
		if :: has[r] -> has[r] = false; used-- :: else fi }
	:: atomic { wants[0] && used < PLACES -> wants[0] = false; has[0] = true; used++; fromFirst!0 }
	:: atomic { wants[1] && used < PLACES -> wants[1] = false; has[1] = true; used++; fromFirst!1 }
	od
}

proctype second()
{
	byte r;
	bool ready = false;

end:	do
	:: atomic { toSecond?complete(r) -> ready = (r == 0) }
	:: atomic { toSecond?hold(r) -> holds[r] = true; running++ }
	:: atomic { toSecond?reserve(r) -> queued[r] = true }
	:: atomic { toSecond?release(r) -> if :: holds[r] -> holds[r] = false; running-- :: else fi }
	:: atomic { toSecond?cancel(r) -> queued[r] = false;
#ifndef NO_GUARD_CROSSING
		if :: holds[r] -> holds[r] = false; running-- :: else fi
#endif
		}
	:: atomic { ready && queued[0] && running < PLACES -> queued[0] = false; holds[0] = true; running++; fromSecond!0 }
	:: atomic { ready && queued[1] && running < PLACES -> queued[1] = false; holds[1] = true; running++; fromSecond!1 }
	od
}

init {
	atomic { run entry(); run first(); run second() }
}
