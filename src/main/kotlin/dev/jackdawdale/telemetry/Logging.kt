package dev.jackdawdale.telemetry

import org.apache.logging.log4j.CloseableThreadContext
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.core.config.Configurator
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilder
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilderFactory
import org.apache.logging.log4j.core.config.builder.api.LayoutComponentBuilder
import org.apache.logging.log4j.core.config.builder.impl.BuiltConfiguration

private typealias Builder = ConfigurationBuilder<BuiltConfiguration>

/**
 * How this process logs to standard output.
 *
 * @property json whether each line is a JSON object; otherwise lines are text for people
 * @property incarnation identifies this run of the process in its log lines
 */
internal data class LogConfig(
    val json: Boolean,
    val level: Level,
    val host: String,
    val incarnation: Long
)

/** Applies [logging] to the whole process. */
internal fun configureLogging(logging: LogConfig) {
    val builder = ConfigurationBuilderFactory.newConfigurationBuilder()
    // The command line shuts logging down itself, after the work in flight has ended.
    builder.setShutdownHook("disable").setStatusLevel(Level.ERROR)
    val layout = if (logging.json) jsonLayout(builder, logging) else textLayout(builder, logging)
    builder.add(
        builder.newAppender("console", "Console").addAttribute("target", "SYSTEM_OUT").add(layout)
    )
    builder.add(builder.newRootLogger(logging.level).add(builder.newAppenderRef("console")))
    val configuration = builder.build()
    // If it is the first one in the process, the one on the class path is not read.
    val context = Configurator.initialize(configuration)
    if (context.configuration !== configuration) Configurator.reconfigure(configuration)
}

private fun jsonLayout(builder: Builder, logging: LogConfig): LayoutComponentBuilder =
    builder.newLayout("JsonTemplateLayout")
        .addAttribute("eventTemplateUri", "classpath:jackdawdale-log.json")
        .addComponent(field(builder, "host", logging.host, "STRING"))
        .addComponent(field(builder, "incarnation", "${logging.incarnation}", "JSON"))

private fun field(builder: Builder, key: String, value: String, format: String) =
    builder.newComponent("EventTemplateAdditionalField")
        .addAttribute("key", key)
        .addAttribute("value", value)
        .addAttribute("format", format)

private fun textLayout(builder: Builder, logging: LogConfig): LayoutComponentBuilder =
    builder.newLayout("PatternLayout").addAttribute(
        "pattern",
        "%d{ISO8601} %-5level ${logging.host} %logger{1} %notEmpty{[%X] }%msg%n%ex"
    )

/** Runs [block] and adds the given ids to its log lines. */
internal inline fun <T> withLogFields(
    work: String? = null,
    customer: String? = null,
    term: Long? = null,
    block: () -> T
): T {
    val fields = buildMap {
        work?.let { put("work", it) }
        customer?.let { put("customer", it) }
        term?.let { put("term", "$it") }
    }
    return CloseableThreadContext.putAll(fields).use { block() }
}
