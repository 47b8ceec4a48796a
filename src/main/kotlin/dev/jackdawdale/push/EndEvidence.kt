package dev.jackdawdale.push

/**
 * What shows that a run has ended, or never starts.
 *
 * A failed call, another process at the worker's address and another process under its id show
 * nothing about the process that has the run: it may be cut off, and works on under its lease.
 */
internal enum class EndEvidence {
    /** The worker's process listed the end, or no longer lists the run and can't start it. */
    REPORTED,

    /** The lease of the worker's process has expired, so it has ended all its runs. */
    LEASE_EXPIRED,

    /** The only order for the run was refused. */
    ORDER_REFUSED,

    /** No order for the run was sent. */
    NOT_SENT
}
