"""Between the forms: what each can say, who can take what, and what is known of a task in doubt. No I/O."""
