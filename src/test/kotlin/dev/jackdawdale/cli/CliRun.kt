package dev.jackdawdale.cli

import java.io.ByteArrayOutputStream
import java.io.PrintStream

/** Output and exit status of one command. */
internal data class CliRun(val status: Int, val out: String, val err: String)

private val streams = Any()

/** Runs a command line in this process; only one at a time, because the streams are global. */
internal fun cli(vararg args: String): CliRun = synchronized(streams) {
    val out = ByteArrayOutputStream()
    val err = ByteArrayOutputStream()
    val (oldOut, oldErr) = System.out to System.err
    System.setOut(PrintStream(out, true))
    System.setErr(PrintStream(err, true))
    try {
        CliRun(rootCommandLine().execute(*args), out.toString(), err.toString())
    } finally {
        System.setOut(oldOut)
        System.setErr(oldErr)
    }
}
