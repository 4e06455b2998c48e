/*
 * The records of the version at which a stream began. A daemon tries engines of
 * two versions in turn and may be killed at any time. Records are datagrams to
 * two owners: each may be lost, late or told again. Owners may be killed and
 * start again without records. Callers take the stream up twice, at daemons
 * that ask the owners and record what they find again.
 *
 * Holds: a stream only goes on at the version that sent its first event.
 *
 * Guards:
 *  FIRST     the record is sent when the first event has arrived, not with the
 *            attempt, which another one at another version may follow
 *  REFUSE    a daemon that finds no record refuses to go on
 */
#define OWNERS 2
#define VERSIONS 2
#define TAKEUPS 2

byte record[OWNERS];		/* version that each owner knows; zero is none */
byte began = 0;			/* version whose engine sent the first event */

proctype datagram(byte owner; byte version)
{
	if
	:: record[owner] = version
	:: skip			/* lost */
	fi
}

inline publish(v)
{
	atomic {
		run datagram(0, v);
		run datagram(1, v)
	}
}

proctype serve()
{
	byte version = 1;

	do
	:: version <= VERSIONS ->
#ifdef NO_GUARD_FIRST
		publish(version);
#endif
		if
		:: began = version;	/* the first event arrives */
			publish(version);
			if
			:: publish(version)	/* the hosts have changed */
			:: skip
			fi;
			break
		:: version++		/* the attempt fails without an event */
		:: break		/* the daemon is killed */
		fi
	:: else -> break
	od
}

proctype restart(byte owner)
{
	record[owner] = 0
}

proctype takeUp()
{
	byte found;
	byte n = 0;

	do
	:: n < TAKEUPS && began != 0 ->
		n++;
		if
		:: found = record[0]
		:: found = record[1]	/* the other one is gone or slow */
		fi;
		if
		:: found != 0 ->
			assert(found == began);
			publish(found)
		:: else ->
#ifdef NO_GUARD_REFUSE
			if
			:: found = 1
			:: found = 2
			fi;
			assert(found == began)
#else
			skip
#endif
		fi
	:: break
	od
}

init {
	atomic {
		run serve();
		run restart(0);
		run restart(1);
		run takeUp()
	}
}
