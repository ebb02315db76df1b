package org.dahliapass.decisions.configuration;

/** The kind of value of a key of the configuration store. */
public enum StoreKind {
    /** The {@link Head}. */
    HEAD,
    /** A {@link TemplateText}. */
    TEXT,
    /** A {@link Pointer}. */
    POINTER,
    /** A {@link CustomerIndex}. */
    CUSTOMERS
}
