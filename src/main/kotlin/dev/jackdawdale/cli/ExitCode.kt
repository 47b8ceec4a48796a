package dev.jackdawdale.cli

/** Exit statuses of the commands; scripts may rely on them. */
internal object ExitCode {
    const val OK = 0

    /** The cell refused the call, or the work ended without success. */
    const val REFUSED = 1
    const val USAGE = 2

    /** No host of the cell answered; nothing is known to have run. */
    const val UNREACHABLE = 3

    /** The work may have run, or its outcome is not known yet. */
    const val UNKNOWN = 4
}
