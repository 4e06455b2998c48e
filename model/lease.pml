/*
 * Orders to an endpoint that checks fencing numbers. Two holders take the
 * lease in turn. A holder may pause for any time between checking its lease
 * and sending, and an order may be under way for any time.
 *
 * Holds: no order of an old holder takes effect after a new holder's.
 *
 * Guards:
 *  FENCE     the endpoint refuses an order with a lower fencing number
 *  GROWS     each takeover has a higher fencing number than the last
 */
#define HOLDERS 2
#define ORDERS 2

byte fence = 0;			/* version of the lease's row */
byte holder = 0;		/* who wrote it last */
byte highest = 0;		/* highest fencing number that the endpoint saw */
byte newest = 0;		/* highest holder's turn whose order took effect */
byte turn = 0;

proctype order(byte number; byte at)
{
	atomic {
		if
#ifndef NO_GUARD_FENCE
		:: number < highest -> skip	/* refused */
#endif
		:: else ->
			highest = number;
			assert(at >= newest);
			newest = at
		fi
	}
}

proctype take(byte id)
{
	byte number, mine;
	byte n = 0;

	/* The old lease may have ended, or the clocks may be wrong: checking
	 * endpoints don't depend on it. */
	atomic {
#ifdef NO_GUARD_GROWS
		fence = 1;
#else
		fence++;
#endif
		number = fence;
		holder = id;
		turn++;
		mine = turn
	}
	do
	:: n < ORDERS -> run order(number, mine); n++
	:: break
	od
}

init {
	byte i = 1;
	do
	:: i <= HOLDERS -> run take(i); i++
	:: else -> break
	od
}
