package org.dahliapass.kernel;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A JSON object that is built field by field.
 *
 * <p>Uses the streaming generator, since data binding loads many classes at startup.
 */
public final class JsonObject {
    private static final JsonFactory FACTORY = new JsonFactory();

    private final Map<String, Object> mFields = new LinkedHashMap<>();

    /** Adds a string; null is written as JSON null. */
    public JsonObject put(String name, String value) {
        mFields.put(name, value);
        return this;
    }

    /** Adds an integer. */
    public JsonObject put(String name, long value) {
        mFields.put(name, value);
        return this;
    }

    /** Adds a floating-point number. */
    public JsonObject put(String name, double value) {
        mFields.put(name, value);
        return this;
    }

    /** Adds a boolean. */
    public JsonObject put(String name, boolean value) {
        mFields.put(name, value);
        return this;
    }

    /** Adds an object. */
    public JsonObject put(String name, JsonObject value) {
        mFields.put(name, value);
        return this;
    }

    /** Adds an array of strings and {@link JsonObject}s. */
    public JsonObject putList(String name, List<?> values) {
        mFields.put(name, List.copyOf(values));
        return this;
    }

    /** Returns the object as JSON on a single line. */
    @Override
    public String toString() {
        StringWriter text = new StringWriter();
        try (JsonGenerator output = FACTORY.createGenerator(text)) {
            write(output, this);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        return text.toString();
    }

    private static void write(JsonGenerator output, Object value) throws IOException {
        if (value instanceof JsonObject object) {
            output.writeStartObject();
            for (Map.Entry<String, Object> field : object.mFields.entrySet()) {
                output.writeFieldName(field.getKey());
                write(output, field.getValue());
            }
            output.writeEndObject();
        } else if (value instanceof List<?> list) {
            output.writeStartArray();
            for (Object element : list) {
                write(output, element);
            }
            output.writeEndArray();
        } else if (value instanceof Long number) {
            output.writeNumber(number);
        } else if (value instanceof Double number) {
            output.writeNumber(number);
        } else if (value instanceof Boolean truth) {
            output.writeBoolean(truth);
        } else {
            output.writeString((String) value);
        }
    }
}
