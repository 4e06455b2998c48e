/*
 * Orders to an endpoint that does not check fencing numbers. Time passes in
 * ticks that all see alike in speed. The first holder may pause past the end
 * of its lease at any place but one.
 *
 * Holds: no order of the first holder takes effect after one of the second.
 *
 * Guards:
 *  BEFORE    the lease is counted from before the request for it was sent
 *  MARGIN    the lease is checked, with a margin, right before each send
 *  WAIT      the successor waits out the lease that it saw
 *  FLIGHT    the successor then waits out the longest flight of an order
 *
 * Assumptions, without which it does not hold, and which nothing enforces:
 *  PROMPT    no pause between check and send is longer than the margin
 *  ARRIVAL   no order is under way longer than FLIGHT_TIME
 */
#define LEASE 3
#define MARGIN 1
#define FLIGHT_TIME 1
#define PAUSE_TIME 1
#define END 8

byte now = 0;
bool granted = false;		/* the first holder's lease is in the row */
bool successorActed = false;

active proctype clock()
{
	do
	:: now < END -> now++
	:: now == END -> break
	od
}

active proctype first()
{
	byte asked, ends, checked, sent;

	asked = now;
	granted = true;
#ifdef NO_GUARD_BEFORE
	asked = now;		/* when the reply came */
#endif
	ends = asked + LEASE;
	do
	:: break
	:: atomic {
#ifdef NO_GUARD_MARGIN
		if
		:: now < ends -> checked = now
		:: else -> goto stop
		fi
#else
		if
		:: now + MARGIN < ends -> checked = now
		:: else -> goto stop
		fi
#endif
	   };
#ifdef NO_ASSUMPTION_PROMPT
	   sent = now;
#else
	   atomic {
		if
		:: now <= checked + PAUSE_TIME -> sent = now
		:: else -> goto stop	/* excluded by the assumption */
		fi
	   };
#endif
	   atomic {
#ifndef NO_ASSUMPTION_ARRIVAL
		if
		:: now <= sent + FLIGHT_TIME
		:: else -> goto stop	/* excluded by the assumption */
		fi;
#endif
		assert(!successorActed)
	   }
	od;
stop:	skip
}

/* The end of time may find it waiting. */
active proctype successor()
{
	byte until;

end1:	granted;
	until = now;
#ifndef NO_GUARD_WAIT
	until = until + LEASE;
#endif
#ifndef NO_GUARD_FLIGHT
	until = until + FLIGHT_TIME;
#endif
end2:	now >= until;
	successorActed = true
}
