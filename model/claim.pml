/*
 * Claim and send. A caller sends one keyed request through a daemon and
 * repeats it through others, while the earlier ones may still be at work: each
 * attempt may pause anywhere (its steps interleave freely with the others'),
 * crash, or lose the reply of the table service or of the endpoint.
 *
 * Holds: the request is executed at most once, and an attempt that answers
 * "not run" was not executed.
 *
 * Guards, each of which can be removed to see the check fail:
 *  READBACK  after a lost reply to the insert, the row must carry the
 *            attempt's own id
 *  TAKEOVER  a claim that another attempt left running is never taken over
 *  WRITTEN   "not run" is said only if no byte was written to the endpoint
 *  ABANDON   a claim is removed only if the request was certainly not run
 *  OWNS      a claim is removed only if it carries the attempt's own id
 */
#define ATTEMPTS 3
#define NONE 0

mtype = { running, done, unknown, notRun, replayed, inProgress, crashed }

byte row = NONE;		/* attempt id in the claim's row */
mtype state;			/* state in the claim's row */
byte executions = 0;
bool executed[ATTEMPTS + 1];	/* by attempt */

inline answer(outcome)
{
	assert(outcome != notRun || !executed[id]);
	goto end
}

/* The insert takes effect or finds a row; either way its reply may be lost. */
inline insert()
{
	atomic {
		if
		:: row == NONE -> row = id; state = running; mine = true
		:: else -> mine = false; found = state
		fi;
		if
		:: lost = true
		:: lost = false
		fi
	}
	if
	:: lost ->
#ifdef NO_GUARD_READBACK
		mine = true
#else
		if
		/* The row can't be read. Nothing is sent, and what the insert may
		 * have left is taken back later. */
		:: atomic {
#ifdef NO_GUARD_OWNS
			row = NONE
#else
			if
			:: row == id -> row = NONE
			:: else
			fi
#endif
		   };
		   answer(notRun)
		:: atomic { mine = (row == id); found = state }
		fi
#endif
	:: else
	fi
}

/* The endpoint runs the request or does not; its reply may be lost. */
inline send()
{
	atomic {
		if
		:: written = false; result = notRun
		:: written = true; result = unknown
		:: written = true; executions++; executed[id] = true; result = unknown
		:: written = true; executions++; executed[id] = true; result = done
		fi
	}
	assert(executions <= 1);
#ifdef NO_GUARD_WRITTEN
	if
	:: result == unknown -> result = notRun
	:: else
	fi
#endif
}

proctype attempt(byte id)
{
	bool mine, lost, written;
	mtype found, result;

	if
	:: answer(notRun)	/* the store is down */
	:: skip
	fi;
	insert();
	if
	:: !mine && found == running ->
#ifdef NO_GUARD_TAKEOVER
		atomic { row = id; state = running }
#else
		answer(inProgress)
#endif
	:: !mine && found == done -> answer(replayed)
	:: !mine && found == unknown -> answer(unknown)
	:: else
	fi;
	if
	:: answer(crashed)
	:: skip
	fi;
	send();
	if
	:: answer(crashed)
	:: skip
	fi;
	atomic {
		if
		:: result == done -> state = done
#ifdef NO_GUARD_ABANDON
		:: result != done -> row = NONE
#else
		:: result == notRun -> row = NONE
		:: result == unknown -> state = unknown
#endif
		fi
	}
	answer(result);
end:	skip
}

init {
	byte i = 1;
	do
	:: i <= ATTEMPTS -> run attempt(i); i++
	:: else -> break
	od
}
