package org.dahliapass.decisions.configuration;

/** A value of the configuration store. */
public sealed interface StoreItem permits Head, MergeableItem {}
