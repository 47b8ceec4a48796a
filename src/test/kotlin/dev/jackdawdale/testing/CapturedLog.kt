package dev.jackdawdale.testing

import java.io.ByteArrayOutputStream
import java.io.PrintStream
import java.util.Properties
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.Logger
import org.apache.logging.log4j.message.ParameterizedMessageFactory
import org.apache.logging.log4j.simple.SimpleLogger
import org.apache.logging.log4j.util.PropertiesUtil

/** A logger that keeps its lines in memory, each with the ids of the work that it is about. */
internal class CapturedLog {
    private val out = ByteArrayOutputStream()
    val logger: Logger = SimpleLogger(
        "recorded",
        Level.INFO,
        false,
        false,
        false,
        true,
        "",
        ParameterizedMessageFactory.INSTANCE,
        PropertiesUtil(Properties()),
        PrintStream(out, true)
    )

    val lines: List<String> get() = out.toString().lines().filter { it.isNotEmpty() }
}
