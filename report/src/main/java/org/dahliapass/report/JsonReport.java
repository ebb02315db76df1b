package org.dahliapass.report;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.module.SimpleModule;
import java.io.IOException;
import java.util.OptionalDouble;
import org.dahliapass.kernel.OperationException;

/** Formats the report as JSON; the burn rate is null if there were no requests. */
final class JsonReport {
    private static final ObjectMapper JSON =
            new ObjectMapper()
                    .enable(SerializationFeature.INDENT_OUTPUT)
                    .registerModule(
                            new SimpleModule()
                                    .addSerializer(OptionalDouble.class, new RateSerializer()));

    private JsonReport() {}

    static String of(BurnReport report) {
        try {
            return JSON.writeValueAsString(report) + "\n";
        } catch (JsonProcessingException failure) {
            throw new OperationException(
                    "write JSON", "self", "Unexpected internal error; please report it.", failure);
        }
    }

    private static final class RateSerializer extends JsonSerializer<OptionalDouble> {
        @Override
        public void serialize(
                OptionalDouble rate, JsonGenerator generator, SerializerProvider provider)
                throws IOException {
            if (rate.isEmpty()) {
                generator.writeNull();
                return;
            }
            generator.writeNumber(rate.getAsDouble());
        }
    }
}
