package dev.jackdawdale.standin

/**
 * Instructions to a sample in a payload or body, such as `run_ms=2000 fail usage_mib=300`. Unknown
 * words are ignored, so that a payload may also contain text.
 *
 * @property runMs how long the work runs
 * @property fail the work ends with a failure
 * @property cut an endpoint sends half of its answer, then closes the connection
 * @property usageMib memory that a worker reports for the task
 * @property usageCpuMillis CPU usage that a worker reports for the task
 * @property answerBytes number of filler bytes in an endpoint's answer
 */
internal data class Directives(
    val runMs: Long? = null,
    val fail: Boolean = false,
    val cut: Boolean = false,
    val usageMib: Long? = null,
    val usageCpuMillis: Long? = null,
    val answerBytes: Int? = null
)

private const val MAX_DIRECTIVE_CHARS = 256

/** Reads the directives in the first 256 characters of [text]. */
internal fun directives(text: String): Directives {
    val words = text.take(MAX_DIRECTIVE_CHARS).split(' ', ',', ';', '\n')
    val values = words.filter { '=' in it }.associate {
        it.substringBefore('=') to it.substringAfter('=')
    }
    return Directives(
        runMs = values["run_ms"]?.toLongOrNull(),
        fail = "fail" in words,
        cut = "cut" in words,
        usageMib = values["usage_mib"]?.toLongOrNull(),
        usageCpuMillis = values["usage_cpu_millis"]?.toLongOrNull(),
        answerBytes = values["answer_bytes"]?.toIntOrNull()
    )
}
